//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head and body of a request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// The path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as a client has received it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has its regular end: all bytes of its length, or the last chunk.
    pub is_complete: bool,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let header = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(&header.1)
}

/// Reads a request. Returns `None` if the connection ends before one.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_owned);
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(io::Error::other("malformed request line"));
    };
    let headers = read_headers(reader)?;
    let (body, is_complete) = read_body(reader, &headers, false)?;
    match is_complete {
        true => Ok(Some(Request {
            method,
            target,
            headers,
            body,
        })),
        false => Err(io::Error::other("incomplete request")),
    }
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::other("the connection ended in a head"));
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(headers);
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body. Returns what has arrived, and whether that is all.
fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
    may_end_with_connection: bool,
) -> io::Result<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(1..)) {
                return Ok((body, false));
            }
            let Ok(size) = u64::from_str_radix(line.trim(), 16) else {
                return Ok((body, false));
            };
            let read = reader.take(size).read_to_end(&mut body);
            let mut end = String::new();
            let has_end = matches!(reader.read_line(&mut end), Ok(1..));
            if !matches!(read, Ok(length) if length as u64 == size) || !has_end {
                return Ok((body, false));
            }
            if size == 0 {
                return Ok((body, true));
            }
        }
    }
    match find(headers, "content-length").and_then(|length| length.parse::<u64>().ok()) {
        Some(length) => {
            let read = reader.take(length).read_to_end(&mut body);
            Ok((body, matches!(read, Ok(read) if read as u64 == length)))
        }
        None if may_end_with_connection => {
            let read = reader.read_to_end(&mut body);
            Ok((body, read.is_ok()))
        }
        None => Ok((body, true)),
    }
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// Opens a connection on which a response may take `patience` at most.
pub fn connect(
    address: SocketAddr,
    patience: Duration,
) -> io::Result<(TcpStream, BufReader<TcpStream>)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let reader = BufReader::new(stream.try_clone()?);
    Ok((stream, reader))
}

/// Writes a request with a length.
pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// Reads a response.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no response"))?;
    let headers = read_headers(reader)?;
    let (body, is_complete) = read_body(reader, &headers, true)?;
    Ok(Response {
        status,
        headers,
        body,
        is_complete,
    })
}

/// Sends a request on a new connection and waits for the response, `patience` at most for each part of it.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Response> {
    let (mut stream, mut reader) = connect(address, patience)?;
    write_request(&mut stream, method, target, headers, body)?;
    read_response(&mut reader)
}
