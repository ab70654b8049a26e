//! HTTP server that sends scripted responses, or closes the connection where the script has none.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Request line and body of a received request.
pub type ReceivedRequest = (String, String);

#[derive(Clone)]
pub struct ScriptedResponse {
    pub status: u16,
    pub headers: &'static str,
    pub body: String,
}

pub struct ScriptedServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl ScriptedServer {
    /// Starts a server that sends the responses in order and then accepts no more connections.
    pub fn start(responses: Vec<Option<ScriptedResponse>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("bound address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let received_log = Arc::clone(&received);
        std::thread::spawn(move || {
            for response in responses {
                let (stream, _) = listener.accept().expect("connection");
                received_log
                    .lock()
                    .expect("lock")
                    .push(read_request(&stream));
                if let Some(response) = response {
                    write_response(&stream, &response);
                }
            }
        });
        Self { address, received }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("lock").clone()
    }
}

fn read_request(stream: &TcpStream) -> ReceivedRequest {
    let mut reader = BufReader::new(stream);
    let mut request_line = String::new();
    reader.read_line(&mut request_line).expect("request line");
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("header");
        let line = line.trim().to_ascii_lowercase();
        if let Some(text) = line.strip_prefix("content-length:") {
            length = text.trim().parse().expect("length");
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("body");
    let body = String::from_utf8(body).expect("text");
    (request_line.trim().to_owned(), body)
}

fn write_response(mut stream: &TcpStream, response: &ScriptedResponse) {
    let ScriptedResponse {
        status,
        headers,
        body,
    } = response;
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n{headers}\r\n{body}"
    );
    stream.write_all(text.as_bytes()).expect("response");
}
