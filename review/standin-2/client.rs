//! A client session over the line protocol.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// The answer to one message: a receipt, or the code and text of an error.
pub struct Answer {
    pub result: Result<String, String>,
}

impl Client {
    /// Opens a session; `None` if it is refused.
    pub fn open(address: SocketAddr, database: &str, key: &str, limit: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        let mut client = Self { stream, reader };
        client.stream.write_all(format!("STARTUP {database} {key}\r\n").as_bytes()).ok()?;
        let line = client.line()?;
        line.starts_with("READY").then_some(client)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(count) if count > 0 && line.ends_with('\n') => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    pub fn send(&mut self, id: &str, text: &str) -> Option<()> {
        self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()
    }

    /// Reads an answer; `None` if the connection ends or nothing comes in time.
    pub fn answer(&mut self) -> Option<Answer> {
        let mut result = Err("NONE".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => {}
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.to_owned()),
                "READY" => return Some(Answer { result }),
                _ => return None,
            }
        }
    }

    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(id, text)?;
        self.answer()
    }
}
