//! Malformed frames of callers and targets: they result in an error, and affect no other connection.

use std::io::Cursor;

use bytes::{BufMut, Bytes, BytesMut};
use futures::executor::block_on;
use mustardhinge_entry::request::{CallerRequest, StatementCache};
use mustardhinge_entry::wire::{CheckedMessage, FrameStream, WireFrame};
use pgwire::messages::Message;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use pgwire::messages::response::{CommandComplete, ErrorResponse, ReadyForQuery};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{BackendKeyData, ParameterStatus, Password, SecretKey};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::cluster::{SEEB_KEY, TEST_BOUND, caller, connect, haulage_fleet};

/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 4_096;

/// Types of the frames that the entry decodes.
const TAGS: [u8; 12] = *b"PBDECQpKSZXH";

/// Returns the frames at the start of `bytes`, up to the end or the first invalid one.
fn read_frames(bytes: &[u8]) -> Vec<WireFrame> {
    let mut stream = FrameStream::new(Cursor::new(bytes.to_vec()), MAX_FRAME_BYTES);
    let mut frames = Vec::new();
    while let Ok(frame) = block_on(stream.read_frame()) {
        frames.push(frame);
    }
    frames
}

fn frame(tag: u8, body: &[u8]) -> WireFrame {
    let mut bytes = BytesMut::new();
    bytes.put_u8(tag);
    bytes.put_u32(u32::try_from(body.len() + 4).unwrap());
    bytes.extend_from_slice(body);
    read_frames(&bytes).remove(0)
}

/// Decodes a frame as each message that a caller or a target may send. The results don't matter.
fn decode_all(frame: &WireFrame) {
    let _ = frame.decode::<Parse>();
    let _ = frame.decode::<Bind>();
    let _ = frame.decode::<Describe>();
    let _ = frame.decode::<Execute>();
    let _ = frame.decode::<Close>();
    let _ = frame.decode::<Query>();
    let _ = frame.decode::<Password>();
    let _ = frame.decode::<BackendKeyData>();
    let _ = frame.decode::<ErrorResponse>();
    let _ = frame.decode::<ReadyForQuery>();
    let _ = frame.decode::<ParameterStatus>();
    let _ = frame.decode::<CommandComplete>();
}

/// Checks that a message is decoded as it was encoded, and that no shorter or longer body is
/// accepted.
fn check_every_length<M: CheckedMessage + PartialEq + std::fmt::Debug>(message: &M) {
    let encoded = WireFrame::encode(message).unwrap();
    assert_eq!(&encoded.decode::<M>().unwrap(), message);
    for length in 0..encoded.body().len() {
        let cut = frame(encoded.tag(), &encoded.body()[..length]);
        assert!(cut.decode::<M>().is_err(), "{message:?} cut at {length}");
    }
    let longer = frame(encoded.tag(), &[encoded.body(), b"x"].concat());
    assert!(
        longer.decode::<M>().is_err(),
        "{message:?} with a byte more"
    );
}

/// Guards against a panic in the decoder, which ended the session of the caller without an error.
#[test]
fn messages_are_decoded_at_their_full_length_only() {
    let name = || Some("s1".to_owned());
    check_every_length(&Parse::new(name(), "SELECT $1".to_owned(), vec![23, 25]));
    let values = vec![Some(Bytes::from_static(b"value")), None, Some(Bytes::new())];
    check_every_length(&Bind::new(None, name(), vec![0, 1], values, vec![1]));
    check_every_length(&Describe::new(b'S', name()));
    check_every_length(&Execute::new(name(), 7));
    check_every_length(&Close::new(b'P', None));
    check_every_length(&Query::new("SELECT 1".to_owned()));
    check_every_length(&Password::new("key".to_owned()));
    check_every_length(&BackendKeyData::new(1, SecretKey::I32(2)));
    check_every_length(&ErrorResponse::new(vec![(b'C', "08P01".to_owned())]));
    check_every_length(&ParameterStatus::new("name".to_owned(), "value".to_owned()));
    check_every_length(&CommandComplete::new("INSERT 0 1".to_owned()));
}

/// Guards against counts that promise more values than the body holds. Found by
/// `any_body_is_handled`: an empty Bind, and one with 65,535 parameters.
#[test]
fn counts_beyond_the_body_are_refused() {
    for body in [
        &b""[..],
        b"\0\0",
        b"\0\0\xff\xff",
        b"\0\0\0\0\xff\xff",
        b"\0\0\0\0\0\x01\x7f\xff\xff\xff",
        b"\0\0\0\0\0\x01\xff\xff\xff\xfe",
        b"\0\0\0\0\0\0\xff\xff",
    ] {
        assert!(frame(b'B', body).decode::<Bind>().is_err(), "{body:?}");
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read_as_frames(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        for frame in read_frames(&bytes) {
            decode_all(&frame);
        }
    }

    #[test]
    fn any_body_is_handled(
        parts in prop::collection::vec((0..TAGS.len(), prop::collection::vec(0..4_u8, 0..24)), 0..6),
    ) {
        // Small values make counts and lengths that are nearly right.
        let frames: Vec<_> = parts.iter().map(|(tag, body)| frame(TAGS[*tag], body)).collect();
        frames.iter().for_each(decode_all);
        let _ = CallerRequest::read(&frames, &mut StatementCache::default());
    }
}

/// Opens a session without a driver.
async fn open_session(address: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let parameters = b"\0\x03\0\0user\0driver\0database\0haulage-1\0\0";
    let mut startup = BytesMut::new();
    startup.put_u32(u32::try_from(parameters.len() + 4).unwrap());
    startup.extend_from_slice(parameters);
    stream.write_all(&startup).await.unwrap();
    let password = WireFrame::encode(&Password::new(SEEB_KEY.to_owned())).unwrap();
    stream.write_all(password.as_bytes()).await.unwrap();
    read_until_ready(&mut stream).await;
    stream
}

/// Returns the types of the frames up to the next ReadyForQuery.
async fn read_until_ready(stream: &mut TcpStream) -> Vec<u8> {
    let mut tags = Vec::new();
    loop {
        let mut header = [0; 5];
        let read = timeout(TEST_BOUND, stream.read_exact(&mut header)).await;
        read.expect("a response in time").expect("an open session");
        let length = u32::from_be_bytes(header[1..].try_into().unwrap());
        let mut body = vec![0; length as usize - 4];
        stream.read_exact(&mut body).await.unwrap();
        tags.push(header[0]);
        if header[0] == ReadyForQuery::message_type().unwrap() {
            return tags;
        }
    }
}

/// Guards against a session that ends without an error for a truncated message.
#[tokio::test]
async fn a_truncated_message_gets_an_error_and_the_session_stays_usable() {
    let fleet = haulage_fleet().await;
    let address = fleet.instances[0].address;
    let mut stream = open_session(address).await;
    for (tag, body) in [
        (b'B', &b""[..]),
        (b'P', b"\0SELECT 1\0\0\x02"),
        (b'D', b""),
        (b'E', b"\0\0"),
    ] {
        let sync = frame(b'S', b"");
        let batch = [&frame(tag, body).as_bytes()[..], sync.as_bytes()].concat();
        stream.write_all(&batch).await.unwrap();
        let tags = read_until_ready(&mut stream).await;
        assert_eq!(tags, b"EZ", "{}", char::from(tag));
    }
    let query = WireFrame::encode(&Query::new("SELECT 1".to_owned())).unwrap();
    stream.write_all(query.as_bytes()).await.unwrap();
    assert!(!read_until_ready(&mut stream).await.contains(&b'E'));
    let other = connect(&caller(address)).await.unwrap();
    other.simple_query("SELECT 1").await.unwrap();
}
