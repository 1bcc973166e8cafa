//! Generates the message types and operator calls of `heatherrun-schema`.

use std::{fmt::Write as _, path::Path};

use prost_build::{Config, Method, Service, ServiceGenerator};

/// Writes the trait, the dispatch and the client of one service.
struct CallGenerator;

impl ServiceGenerator for CallGenerator {
    fn generate(&mut self, service: Service, buf: &mut String) {
        write_trait(&service, buf);
        write_dispatch(&service, buf);
        write_client(&service, buf);
    }
}

fn write_trait(service: &Service, buf: &mut String) {
    writeln!(buf, "/// Server side of the calls.").unwrap();
    writeln!(buf, "pub trait {}: Send + Sync {{", service.name).unwrap();
    for Method {
        name,
        input_type,
        output_type,
        ..
    } in &service.methods
    {
        writeln!(
            buf,
            "fn {name}(&self, request: {input_type}) -> impl Future<Output = Result<{output_type}, crate::CallError>> + Send;"
        )
        .unwrap();
    }
    buf.push_str("}\n");
}

fn write_dispatch(service: &Service, buf: &mut String) {
    let name = &service.name;
    writeln!(
        buf,
        "/// Runs the call named by `call` on `server`; `body` and the result are JSON.\n\
         pub async fn dispatch(server: &impl {name}, call: &str, body: &[u8]) -> Result<Vec<u8>, crate::CallError> {{\n\
         match call {{"
    )
    .unwrap();
    for Method {
        name, proto_name, ..
    } in &service.methods
    {
        writeln!(
            buf,
            "\"{proto_name}\" => crate::encode(&server.{name}(crate::decode(body)?).await?),"
        )
        .unwrap();
    }
    buf.push_str("other => Err(crate::CallError::UnknownCall(other.to_owned())),\n}\n}\n");
}

fn write_client(service: &Service, buf: &mut String) {
    let name = &service.name;
    writeln!(
        buf,
        "/// Client side of the calls over any transport that carries a call's name and JSON.\n\
         pub struct {name}Client<F> {{\n/// Sends the call's name and body, returns the answer's body.\npub send: F,\n}}\n\
         impl<F: Fn(&str, Vec<u8>) -> Result<Vec<u8>, crate::CallError>> {name}Client<F> {{"
    )
    .unwrap();
    for Method {
        name,
        proto_name,
        input_type,
        output_type,
        ..
    } in &service.methods
    {
        writeln!(
            buf,
            "pub fn {name}(&self, request: &{input_type}) -> Result<{output_type}, crate::CallError> {{\n\
             crate::decode(&(self.send)(\"{proto_name}\", crate::encode(request)?)?)\n}}"
        )
        .unwrap();
    }
    buf.push_str("}\n");
}

/// Generates the code of the schema below `root` into the folder `out`.
///
/// # Panics
/// When the schema is malformed or `out` cannot be written.
pub fn generate(root: &Path, out: &Path) {
    let files = protox::compile(["heatherrun.proto"], [root.join("proto")]).unwrap();
    let mut config = Config::new();
    config.out_dir(out);
    config.service_generator(Box::new(CallGenerator));
    config.type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]");
    config.type_attribute(".", "#[serde(rename_all = \"snake_case\")]");
    config.message_attribute(".", "#[serde(default, deny_unknown_fields)]");
    // A flattened field cannot be combined with deny_unknown_fields; the settings check refuses unknown keys.
    config.message_attribute(
        ".heatherrun.v1.Service",
        "#[serde(from = \"crate::ServiceJson\", into = \"crate::ServiceJson\")]",
    );
    for (field, module) in [
        ("SearchRequest.class", "class"),
        ("PoolRequest.class", "class"),
        ("Refusal.ran", "ran"),
    ] {
        let path = format!(".heatherrun.v1.{field}");
        config.field_attribute(path, format!("#[serde(with = \"crate::json::{module}\")]"));
    }
    config.compile_fds(files).unwrap();
}
