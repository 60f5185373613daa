//! As much of HTTP/1.1 as the stand-ins need, read plainly.

use std::collections::HashMap;
use std::io::BufRead;

/// The first line and the fields of a message; none at the end of the connection.
pub fn read_head(from: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if from.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    Some((first.trim_end().to_string(), headers))
}

/// One message, a call's or an answer's; none at the end of the connection.
pub fn read_message(from: &mut impl BufRead) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let (first, headers) = read_head(from)?;
    let mut body = Vec::new();
    read_body(from, &headers, &mut body, u64::MAX)?;
    Some((first, headers, body))
}

/// Its body, or so much of it, by its length or in chunks; none where the connection ended before. What came is in `body`
/// either way.
pub fn read_body(
    from: &mut impl BufRead,
    headers: &HashMap<String, String>,
    body: &mut Vec<u8>,
    most: u64,
) -> Option<()> {
    if headers.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok()?;
            let size = u64::from_str_radix(line.trim(), 16).ok()?;
            read_exactly(from, body, size.min(most.saturating_sub(body.len() as u64)))?;
            if body.len() as u64 >= most {
                return Some(());
            }
            from.read_line(&mut line).ok()?;
            if size == 0 {
                return Some(());
            }
        }
    }
    let length: u64 = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    read_exactly(from, body, length.min(most))
}

fn read_exactly(from: &mut impl BufRead, body: &mut Vec<u8>, size: u64) -> Option<()> {
    let end = body.len() as u64 + size;
    while (body.len() as u64) < end {
        let piece = from.fill_buf().ok()?;
        if piece.is_empty() {
            return None;
        }
        let length = piece.len().min((end - body.len() as u64) as usize);
        body.extend_from_slice(&piece[..length]);
        from.consume(length);
    }
    Some(())
}
