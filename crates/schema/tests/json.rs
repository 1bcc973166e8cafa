//! The JSON form of messages, and the generated dispatch.

use heatherrun_schema::{CallError, decode, encode, fields, v1};

#[test]
fn decode_class_by_name() {
    let ask: v1::SearchRequest = decode(br#"{"service": "a", "class": "urgent"}"#).unwrap();
    assert_eq!(ask.class(), v1::Class::Urgent);
    let text = String::from_utf8(encode(&ask).unwrap()).unwrap();
    assert!(text.contains(r#""class":"urgent""#), "{text}");
}

#[test]
fn decode_faults_name_remedy() {
    let cases = [
        (r#"{"class": "hurry"}"#, "use one of batch, normal, urgent"),
        (
            r#"{"servce": "a"}"#,
            "unknown field `servce`, expected one of `service`",
        ),
        (r#"{"limit": -1}"#, "expected u32"),
        ("{", "EOF"),
    ];
    for (text, words) in cases {
        let fault = decode::<v1::SearchRequest>(text.as_bytes()).unwrap_err();
        assert!(matches!(fault, CallError::Malformed(_)), "{text}");
        assert!(fault.to_string().contains(words), "{fault}");
    }
}

#[test]
fn encode_service_kind_is_a_key() {
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
fn fields_messages_refer_to_messages() {
    for message in fields::MESSAGES {
        for field in message.fields {
            if let fields::FieldKind::Message(name) = field.kind {
                assert!(fields::message(name).is_some(), "{name}");
            }
        }
    }
}
