//! Stand-ins for the scripts of this review, with the standard library only: the
//! platform's store, searchers, clients, and real daemons as processes.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the deployment, those of `sites/kernwerk-heatherrun.toml`.
pub const GRACE: Duration = Duration::from_secs(6);
pub const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
pub const CONTACT: Duration = Duration::from_millis(4_000);
pub const EVACUATE: Duration = Duration::from_millis(5_000);
pub const RECOVERY: Duration = Duration::from_secs(12);

// ---------------------------------------------------------------- record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

pub fn open_record() {
    START.get_or_init(Instant::now);
    let path = PathBuf::from(std::env::args().nth(1).expect("folder of the case"));
    let file = File::create(path.join("record.txt")).expect("record.txt");
    let _ = RECORD.set(Mutex::new(file));
}

pub fn elapsed() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn record(line: &str) {
    let line = format!("{:8.3} {line}\n", elapsed());
    print!("{line}");
    if let Some(file) = RECORD.get() {
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Whether the disruption is part of this run.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Polls until `check` holds; false after the time.
pub fn until(limit: Duration, check: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if check() {
            return true;
        }
        sleep_ms(20);
    }
    check()
}

/// Prints the verdict and ends the process. The guards of the daemons must have
/// been dropped before.
pub fn finish(code: i32, verdict: &str) -> ! {
    record(&format!("exit {code}: {verdict}"));
    std::process::exit(code);
}

// ---------------------------------------------------------------- base64, JSON

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(data: &[u8]) -> String {
    let mut out = String::with_capacity(data.len() * 4 / 3 + 4);
    for chunk in data.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(B64[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(v) = B64.iter().position(|b| *b == byte) else {
            continue;
        };
        n = (n << 6) | v as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = Self::value(text, &mut at)?;
        Some(value)
    }

    fn skip(t: &[u8], at: &mut usize) {
        while t.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(t: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(t, at);
        match *t.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = Vec::new();
                loop {
                    Self::skip(t, at);
                    if *t.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    if t[*at] == b',' {
                        *at += 1;
                        continue;
                    }
                    let Json::Str(key) = Self::value(t, at)? else {
                        return None;
                    };
                    Self::skip(t, at);
                    if *t.get(*at)? != b':' {
                        return None;
                    }
                    *at += 1;
                    map.push((key, Self::value(t, at)?));
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(t, at);
                    match *t.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(t, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    match *t.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Str(String::from_utf8(out).ok()?));
                        }
                        b'\\' => {
                            *at += 1;
                            match *t.get(*at)? {
                                b'n' => out.push(b'\n'),
                                b't' => out.push(b'\t'),
                                b'r' => out.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(t.get(*at + 1..*at + 5)?).ok()?;
                                    let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                    out.extend(c.to_string().as_bytes());
                                    *at += 4;
                                }
                                other => out.push(other),
                            }
                            *at += 1;
                        }
                        byte => {
                            out.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while t
                    .get(*at)
                    .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
                {
                    *at += 1;
                }
                let text = std::str::from_utf8(&t[from..*at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Map(map) => map.iter().find(|(k, _)| k == key).map_or(NULL, |(_, v)| v),
            _ => NULL,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }
}

fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        found
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message with a length; `None` at the end of the stream or on an
/// error.
pub fn read_message(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next()?.to_owned();
            let headers: Vec<_> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                .collect();
            let mut message = Message {
                line,
                headers,
                body: Vec::new(),
            };
            let length: usize = message
                .header("content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            if input.len() >= end + 4 + length {
                message.body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                return Some(message);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => input.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Serves HTTP on a free port of 127.0.0.1, a thread for each connection.
pub fn serve_http(
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    serve_http_while(&Arc::new(AtomicBool::new(true)), handle)
}

/// Like [`serve_http`], until `is_up` is false: the port and all connections are
/// closed then.
pub fn serve_http_while(
    is_up: &Arc<AtomicBool>,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).expect("a listener");
    let handle = Arc::new(handle);
    let is_up = Arc::clone(is_up);
    thread::spawn(move || {
        while is_up.load(Ordering::SeqCst) {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_micros(500));
                continue;
            };
            let (handle, is_up) = (Arc::clone(&handle), Arc::clone(&is_up));
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let mut input = Vec::new();
                while let Some(request) = read_message(&mut stream, &mut input) {
                    if !is_up.load(Ordering::SeqCst) || !handle(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn write_reply(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body))
        .is_ok()
}

// ---------------------------------------------------------------- store

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    created: u64,
    lease: u64,
    /// None: deleted.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct StoreState {
    /// All changes, by revision; nothing is forgotten.
    events: Vec<(Instant, Event)>,
    revision: u64,
    items: BTreeMap<String, Event>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Rises by one each time the store comes back from a copy.
    era: u64,
}

/// A copy of the store.
pub struct Copy {
    items: BTreeMap<String, Event>,
    revision: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    pub address: SocketAddr,
    /// Most items in a page.
    page_items: Arc<AtomicU64>,
    /// Most bytes of values in a page, encoded.
    page_bytes: Arc<AtomicU64>,
    /// How old a page is that `allowStale` asks for, in ms: the first one of a
    /// listing, and the later ones. They come from replicas that lag by that.
    pub stale_first_ms: Arc<AtomicU64>,
    pub stale_later_ms: Arc<AtomicU64>,
}

impl StoreState {
    fn apply(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let event = Event {
            key: key.to_owned(),
            revision,
            created,
            lease,
            value,
        };
        if event.value.is_some() {
            self.items.insert(key.to_owned(), event.clone());
        } else if self.items.remove(key).is_none() {
            return;
        }
        self.events.push((Instant::now(), event));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| now >= *until)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .values()
            .filter(|i| i.lease == lease)
            .map(|i| i.key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            for key in keys {
                self.apply(&key, None, 0, revision);
            }
        }
        true
    }

    /// The items as they were so long ago, with the revision of that time.
    fn view(&self, age: Duration) -> (BTreeMap<String, Event>, u64) {
        if age.is_zero() {
            return (self.items.clone(), self.revision);
        }
        let mut items = BTreeMap::new();
        let mut revision = 0;
        for (at, event) in &self.events {
            if at.elapsed() < age {
                break;
            }
            revision = event.revision;
            if event.value.is_some() {
                items.insert(event.key.clone(), event.clone());
            } else {
                items.remove(&event.key);
            }
        }
        (items, revision)
    }
}

fn item_json(event: &Event) -> String {
    match &event.value {
        Some(value) => format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(&event.key),
            base64(value),
            event.revision,
            event.created,
            event.lease
        ),
        None => format!(
            "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
            quote(&event.key),
            event.revision
        ),
    }
}

/// Decodes a query value.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    pub fn start() -> Self {
        let state = Arc::<Mutex<StoreState>>::default();
        {
            let mut state = state.lock().unwrap();
            (state.next_lease, state.era) = (70_000, 1);
        }
        let page_items = Arc::new(AtomicU64::new(500));
        let page_bytes = Arc::new(AtomicU64::new(1_000_000));
        let (first, later) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let (s, pi, pb) = (state.clone(), page_items.clone(), page_bytes.clone());
        let (f, l) = (first.clone(), later.clone());
        let address = serve_http(move |request, stream| {
            let (status, body) = Self::answer(&s, &pi, &pb, &f, &l, request);
            let era = s.lock().unwrap().era;
            let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
            write_reply(stream, status, &headers, body.as_bytes())
        });
        Self {
            state,
            address,
            page_items,
            page_bytes,
            stale_first_ms: first,
            stale_later_ms: later,
        }
    }

    pub fn set_page(&self, items: u64) {
        self.page_items.store(items, Ordering::SeqCst);
    }

    /// Writes a key whatever its revision; the operator's and the searchers' way.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.apply(key, Some(value.as_bytes().to_vec()), 0, revision);
        revision
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.apply(key, None, 0, revision);
    }

    /// A copy of the store as it is now.
    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        Copy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// The store comes back from a copy: what was written since is gone, leases
    /// and their keys too, and revisions are given out again. `again` holds what
    /// the operator writes again at once.
    pub fn restore(&self, copy: Copy, again: &[(&str, String)]) {
        let mut state = self.state.lock().unwrap();
        state.era += 1;
        state.items = copy.items;
        state.items.retain(|_, item| item.lease == 0);
        state.leases.clear();
        state.revision = copy.revision;
        let revision = state.revision;
        state.events.retain(|(_, event)| event.revision <= revision);
        record(&format!(
            "store: era {} begins at revision {revision}",
            state.era
        ));
        for (key, value) in again {
            state.revision += 1;
            let revision = state.revision;
            state.apply(key, Some(value.as_bytes().to_vec()), 0, revision);
            record(&format!(
                "operator: writes {key} again, revision {revision}"
            ));
        }
    }

    pub fn keys(&self) -> Vec<String> {
        self.state.lock().unwrap().items.keys().cloned().collect()
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let value = state.items.get(key)?.value.clone()?;
        String::from_utf8(value).ok()
    }

    fn answer(
        state: &Mutex<StoreState>,
        page_items: &AtomicU64,
        page_bytes: &AtomicU64,
        stale_first: &AtomicU64,
        stale_later: &AtomicU64,
        request: &Message,
    ) -> (&'static str, String) {
        let path = request.path();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k, decode(v)))
            .collect();
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let mut s = state.lock().unwrap();
        s.expire();
        match (request.method(), path) {
            ("GET", "/-/kv-key") => match s.items.get(&text("key")) {
                Some(item) => ("200 OK", item_json(item)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (text("prefix"), text("after"));
                let is_stale = text("allowStale") == "1";
                let age = match (is_stale, after.is_empty()) {
                    (false, _) => 0,
                    (true, true) => stale_first.load(Ordering::SeqCst),
                    (true, false) => stale_later.load(Ordering::SeqCst),
                };
                let (items, revision) = s.view(Duration::from_millis(age));
                let mut page = Vec::new();
                let (mut bytes, mut more) = (0, false);
                for (key, item) in &items {
                    if !key.starts_with(&prefix) || (!after.is_empty() && *key <= after) {
                        continue;
                    }
                    let json = item_json(item);
                    let is_over = bytes + json.len() as u64 > page_bytes.load(Ordering::SeqCst);
                    let is_full = page.len() as u64 >= page_items.load(Ordering::SeqCst);
                    if !page.is_empty() && (is_over || is_full) {
                        more = true;
                        break;
                    }
                    bytes += json.len() as u64;
                    page.push((key.clone(), json));
                }
                if is_stale {
                    let first = page.first().map_or("", |(k, _)| k);
                    let last = page.last().map_or("", |(k, _)| k);
                    record(&format!(
                        "store: kv-range allowStale=1 after={after:?}: {} items, {first:?} to {last:?}, at {revision} of {}, {age} ms old",
                        page.len(),
                        s.revision
                    ));
                }
                let list: Vec<_> = page.into_iter().map(|(_, json)| json).collect();
                (
                    "200 OK",
                    format!(
                        "{{\"items\":[{}],\"hasMore\":{more},\"at\":{revision}}}",
                        list.join(",")
                    ),
                )
            }
            ("GET", "/-/kv-watch") => {
                let prefix = text("prefix");
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait: u64 = text("waitMs").parse().unwrap_or(0);
                if after > s.revision {
                    return ("410 Gone", "{}".to_owned());
                }
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let found: Vec<_> = s
                        .events
                        .iter()
                        .filter(|(_, e)| e.revision > after && e.key.starts_with(&prefix))
                        .map(|(_, e)| item_json(e))
                        .collect();
                    if !found.is_empty() || Instant::now() >= end {
                        let revision = s.revision;
                        return (
                            "200 OK",
                            format!("{{\"events\":[{}],\"at\":{revision}}}", found.join(",")),
                        );
                    }
                    drop(s);
                    sleep_ms(2);
                    s = state.lock().unwrap();
                }
            }
            ("POST", "/-/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                let expected = body.get("expectedRev").list();
                let fails = expected.iter().any(|row| {
                    let found = s.items.get(row.get("key").str());
                    found.map_or(0, |i| i.revision) != row.get("revision").num()
                });
                if fails {
                    let items: Vec<_> = expected
                        .iter()
                        .filter_map(|row| s.items.get(row.get("key").str()))
                        .map(item_json)
                        .collect();
                    return (
                        "412 Precondition Failed",
                        format!("{{\"items\":[{}]}}", items.join(",")),
                    );
                }
                for put in body.get("puts").list() {
                    let lease = put.get("lease").num();
                    if lease != 0 && !s.leases.contains_key(&lease) {
                        return ("404 Not Found", "{}".to_owned());
                    }
                    let key = put.get("key").str();
                    if key.starts_with("op/") || key.starts_with("servers/") {
                        return ("403 Forbidden", "{}".to_owned());
                    }
                }
                s.revision += 1;
                let revision = s.revision;
                for put in body.get("puts").list() {
                    let value = unbase64(put.get("value").str());
                    s.apply(
                        put.get("key").str(),
                        Some(value),
                        put.get("lease").num(),
                        revision,
                    );
                }
                for key in body.get("deletes").list() {
                    s.apply(key.str(), None, 0, revision);
                }
                ("200 OK", format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "/-/kv-lease") => {
                let ttl = Json::parse(&request.body).map_or(3_000, |b| b.get("ttlMs").num());
                s.next_lease += 1;
                let lease = s.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                s.leases
                    .insert(lease, (Instant::now() + ttl_time, ttl_time));
                ("200 OK", format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match s.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", "{}".to_owned())
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                if s.end_lease(lease) {
                    ("200 OK", "{}".to_owned())
                } else {
                    ("404 Not Found", "{}".to_owned())
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

// ---------------------------------------------------------------- searchers

/// A request that a searcher began to work on.
#[derive(Clone, Debug)]
pub struct Ran {
    pub at: f64,
    pub searcher: String,
    pub service: String,
    pub id: String,
    pub line: String,
}

/// Requests run by all searchers.
pub type RunLog = Arc<Mutex<Vec<Ran>>>;

pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_up: Arc<AtomicBool>,
}

impl Searcher {
    /// Starts a searcher that answers as `answer` says, and registers it.
    /// `answer` gets the request and the stream and returns whether the
    /// connection stays open; it is called once the request runs.
    pub fn start(
        store: &Store,
        log: &RunLog,
        id: &str,
        service: &str,
        zone: &str,
        answer: impl Fn(&Message, &mut TcpStream, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self::start_version(store, log, id, service, zone, "v1", answer)
    }

    /// Like [`Self::start`], with the version of the searcher's software.
    pub fn start_version(
        store: &Store,
        log: &RunLog,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        answer: impl Fn(&Message, &mut TcpStream, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        let own = id.to_owned();
        let (log, service_name) = (Arc::clone(log), service.to_owned());
        let is_up = Arc::new(AtomicBool::new(true));
        let address = serve_http_while(&is_up, move |request, stream| {
            if request.path() == "/health" {
                return write_reply(
                    stream,
                    "200 OK",
                    &format!("instance-id: {own}\r\nserver-load: 0,0,3\r\n"),
                    b"",
                );
            }
            let id = request.header("request-id").unwrap_or_default().to_owned();
            if request.header("expect-instance").is_some_and(|e| e != own) {
                let headers = format!("instance-id: {own}\r\nrequest-id: {id}\r\n");
                return write_reply(stream, "421 Misdirected Request", &headers, b"");
            }
            if id.is_empty() {
                return write_reply(stream, "400 Bad Request", "not-executed: 1\r\n", b"");
            }
            log.lock().unwrap().push(Ran {
                at: elapsed(),
                searcher: own.clone(),
                service: service_name.clone(),
                id,
                line: request.line.clone(),
            });
            let stamp = format!("{own}.{}", request.header("request-id").unwrap_or_default());
            answer(request, stream, &stamp)
        });
        let searcher = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            is_up,
        };
        searcher.report(store, version);
        searcher
    }

    /// Reports each 1.2 s, as a searcher does, until it is down.
    fn report(&self, store: &Store, version: &str) {
        let version = version.to_owned();
        let key = format!("servers/{}", self.id);
        let (service, zone) = (self.service.clone(), self.zone.clone());
        let (address, store) = (self.address, store.clone());
        let is_up = Arc::clone(&self.is_up);
        let entry = move |seq: u64| {
            format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":3,\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":{seq},\"born\":1700000000000}}"
            )
        };
        store.put(&key, &entry(1));
        thread::spawn(move || {
            for seq in 2.. {
                sleep_ms(1_200);
                if !is_up.load(Ordering::SeqCst) {
                    // Three intervals of silence.
                    sleep_ms(2_400);
                    store.delete(&key);
                    return;
                }
                store.put(&key, &entry(seq));
            }
        });
    }
}

/// Headers of a sound answer.
pub fn answer_headers(request: &Message, stamp: &str) -> String {
    let id = request.header("request-id").unwrap_or_default();
    format!("request-id: {id}\r\nserver-stamp: {stamp}\r\nserver-load: 1,0,3\r\n")
}

// ---------------------------------------------------------------- daemons

pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

pub const ZONES: [(&str, &str); 3] = [
    ("wallis-a", "wallis"),
    ("ticino-a", "ticino"),
    ("zurich-a", "zurich"),
];

/// Temporary folder of this run.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("heatherrun-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// A loopback address for a node, whose ports are free.
fn node_ip(ix: usize) -> [u8; 4] {
    let process = std::process::id();
    for n in 0..200_u32 {
        let octet = |v: u32| (v % 200 + 20) as u8;
        let ip = [127, octet(process + n), octet(process / 200), 1 + ix as u8];
        let ports = [8_224, 8_225, 8_226, 8_227, 7_740, 7_755];
        let is_free = |port: &u16| TcpListener::bind((Ipv4Addr::from(ip), *port)).is_ok();
        if ports.iter().all(is_free) {
            return ip;
        }
    }
    finish(2, "no free ports");
}

impl Daemon {
    /// Nodes, one in each of the first `count` zones. Their settings are what
    /// the platform makes of `deploy/node.jsonc`.
    pub fn nodes(store: &Store, count: usize) -> Vec<Self> {
        Self::nodes_with(store, count, "")
    }

    /// Like [`Self::nodes`], with more fields of the gateway's settings.
    pub fn nodes_with(store: &Store, count: usize, more: &str) -> Vec<Self> {
        let mut nodes = Vec::new();
        let folder = folder();
        for (ix, (zone, _)) in ZONES.iter().enumerate().take(count) {
            // Each node has a loopback address of its own, whose ports no client
            // of this machine takes.
            let ip = Ipv4Addr::from(node_ip(ix));
            let address = |port: u16| SocketAddr::from((ip, port));
            nodes.push(Self {
                name: format!("front-{zone}-1"),
                zone: (*zone).to_owned(),
                front: address(8_226),
                ready: address(8_227),
                peers: address(8_224),
                directory: address(8_225),
                settings: folder.join(format!("node-{ix}.jsonc")),
                log: folder.join(format!("node-{ix}.log")),
                process: None,
            });
        }
        let seeds: Vec<_> = nodes.iter().map(|n| format!("\"{}\"", n.peers)).collect();
        let seeds = seeds.join(",");
        let mut domains = String::new();
        for (zone, region) in ZONES {
            let _ = write!(domains, "{{\"name\":\"{zone}\",\"region\":\"{region}\"}},");
        }
        for node in &nodes {
            let region = ZONES.iter().find(|(z, _)| *z == node.zone).unwrap().1;
            let ip = node.front.ip();
            let (operators, scrape) = (format!("{ip}:7740"), format!("{ip}:7755"));
            let text = format!(
                "{{\"name\":\"{}\",\"domain\":\"{}\",\"callers\":\"{}\",\"peers\":\"{}\",\
                 \"operators\":\"{operators}\",\"platform\":\"{}\",\"log\":\"info\",\
                 \"address_secs\":1,\"stop_secs\":6,\"gateway\":{{\"site\":\"platform\",\
                 \"region\":\"{region}\",\"ready\":\"{}\",\"directory\":\"{}\",\
                 \"scrape\":\"{scrape}\",\"domains\":[{}],\"seeds\":[{seeds}],\
                 \"extra_share\":0.2,\"extra_slack\":56,\"extra_secs\":10,\
                 \"cpu_share\":0.25,\"cpu_speed\":1,\"keep_secs\":5{more}}}}}\n",
                node.name,
                node.zone,
                node.front,
                node.peers,
                store.address,
                node.ready,
                node.directory,
                domains.trim_end_matches(','),
            );
            fs::write(&node.settings, text).expect("settings");
        }
        nodes
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("log");
        let mut command = Command::new("target/release/heatherrund");
        command.arg(&self.settings).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let process = command
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match process {
            Ok(process) => {
                record(&format!("{}: started", self.name));
                self.process = Some(process);
            }
            Err(e) => finish(2, &format!("heatherrund does not start: {e}")),
        }
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/-/ready").is_some_and(|r| r.status() == 200)
    }

    pub fn pid(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal with the system's `kill`.
    pub fn signal(&self, signal: &str) {
        record(&format!("{}: SIG{signal}", self.name));
        let pid = self.pid().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            record(&format!("{}: SIGKILL", self.name));
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Waits for the end of the process; its exit code.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        let process = self.process.as_mut()?;
        while Instant::now() < end {
            if let Ok(Some(status)) = process.try_wait() {
                self.process = None;
                record(&format!("{}: ended, {status}", self.name));
                return status.code();
            }
            sleep_ms(10);
        }
        None
    }

    /// Whether the process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))))
    }

    /// Lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Ends all daemons and removes the temporary folder.
pub fn clean(nodes: Vec<Daemon>) {
    if let Ok(keep) = std::env::var("KEEP_LOGS") {
        for node in &nodes {
            let _ = fs::copy(&node.log, format!("{keep}/{}.log", node.name));
        }
    }
    drop(nodes);
    let _ = fs::remove_dir_all(folder());
}

// ---------------------------------------------------------------- clients

/// Sends a request on a new connection and reads the whole answer.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(limit));
    stream.write_all(request.as_bytes()).ok()?;
    let reply = read_message(&mut stream, &mut Vec::new());
    let _ = stream.shutdown(Shutdown::Both);
    reply
}

pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: node\r\n\r\n");
    call(address, &request, Duration::from_secs(1))
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    let n = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{n:08x}", std::process::id())
}

/// A client's request.
pub fn request_text(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: hufi27.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
    )
}

/// A configuration; `routes` and `services` are JSON without the brackets.
pub fn config(version: u64, routes: &str, services: &[&str]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}}}",
        services.join(",")
    )
}

/// Adds tenants, in JSON without the brackets, to a configuration.
pub fn with_tenants(config: &str, tenants: &str) -> String {
    let open = config.strip_suffix('}').expect("an object");
    format!("{open},\"tenants\":[{tenants}]}}")
}

/// A route to one service.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u64, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"hufi27.example\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":500,\"priority\":2,\"service\":\"{service}\",\"attempts\":2,\"allowedRegions\":[]}}"
    )
}
