//! JSON encoding of messages, and the descriptions of their fields.

use heatherrun_schema::{CallError, decode, encode, fields, v1};

#[test]
fn decode_class_by_name() {
    let request: v1::SearchRequest = decode(br#"{"service": "a", "class": "urgent"}"#).unwrap();
    assert_eq!(request.class(), v1::Class::Urgent);
    let text = String::from_utf8(encode(&request).unwrap()).unwrap();
    assert!(text.contains(r#""class":"urgent""#), "{text}");
}

#[test]
fn decode_error_names_expected_value() {
    let cases = [
        (r#"{"class": "hurry"}"#, "use one of batch, normal, urgent"),
        (
            r#"{"servce": "a"}"#,
            "unknown field `servce`, expected one of `service`",
        ),
        (r#"{"limit": -1}"#, "expected u32"),
        ("{", "EOF"),
    ];
    for (text, expected) in cases {
        let error = decode::<v1::SearchRequest>(text.as_bytes()).unwrap_err();
        assert!(matches!(error, CallError::Malformed(_)), "{text}");
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[test]
fn encode_service_kind_as_key() {
    let service = v1::Service {
        name: "lot-viewer".to_owned(),
        kind: Some(v1::service::Kind::Pooled(v1::Pooled::default())),
        ..v1::Service::default()
    };
    let text = encode(&service).unwrap();
    assert_eq!(text, br#"{"name":"lot-viewer","pooled":{"searchers":[]}}"#);
    assert_eq!(decode::<v1::Service>(&text).unwrap(), service);
}

#[test]
fn fields_nested_messages_are_described() {
    for message in fields::MESSAGES {
        for field in message.fields {
            if let fields::FieldKind::Message(name) = field.kind {
                assert!(fields::message(name).is_some(), "{name}");
            }
        }
    }
}
