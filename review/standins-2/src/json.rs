//! A small JSON reader, enough for the lines of the protocol.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn str(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Json::Str(text)) => Some(text),
            _ => None,
        }
    }

    pub fn num(&self, key: &str) -> Option<f64> {
        match self.get(key) {
            Some(Json::Num(number)) => Some(*number),
            _ => None,
        }
    }
}

fn space(b: &[u8], at: &mut usize) {
    while *at < b.len() && matches!(b[*at], b' ' | b'\t' | b'\r' | b'\n') {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            space(b, at);
            if b.get(*at) == Some(&b'}') {
                *at += 1;
                return Some(Json::Obj(fields));
            }
            loop {
                space(b, at);
                let key = string(b, at)?;
                space(b, at);
                if *b.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((key, value(b, at)?));
                space(b, at);
                *at += 1;
                match *b.get(*at - 1)? {
                    b',' => {}
                    b'}' => return Some(Json::Obj(fields)),
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            space(b, at);
            if b.get(*at) == Some(&b']') {
                *at += 1;
                return Some(Json::Arr(items));
            }
            loop {
                items.push(value(b, at)?);
                space(b, at);
                *at += 1;
                match *b.get(*at - 1)? {
                    b',' => {}
                    b']' => return Some(Json::Arr(items)),
                    _ => return None,
                }
            }
        }
        b'"' => string(b, at).map(Json::Str),
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            std::str::from_utf8(&b[from..*at])
                .ok()?
                .parse()
                .ok()
                .map(Json::Num)
        }
    }
}

fn word(b: &[u8], at: &mut usize, word: &str, json: Json) -> Option<Json> {
    if !b[*at..].starts_with(word.as_bytes()) {
        return None;
    }
    *at += word.len();
    Some(json)
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let c = *b.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let e = *b.get(*at)?;
                *at += 1;
                match e {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        let mut buffer = [0; 4];
                        out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => out.push(other),
                }
            }
            c => out.push(c),
        }
    }
}
