//! What clients send.

use crate::{
    system::{HOST, MODEL},
    text::base64,
};

/// Returns the header fields of a call with an identifier and a key.
pub fn headers(id: &str, key: &str) -> Vec<(&'static str, String)> {
    vec![
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", "4000".to_owned()),
        ("Api-Key", key.to_owned()),
        ("Content-Type", "application/json".to_owned()),
    ]
}

/// Returns the submission of a batch.
pub fn submission(batch: &str, items: usize, body: &[u8]) -> Vec<u8> {
    let body = base64(body);
    let items: Vec<String> = (0..items)
        .map(|index| {
            format!(
                r#"{{"id":"{batch}-{index}","path":"/batch/{index}","headers":{{"Model":"{MODEL}","Token-Counts":"16,12","Prompt-Prefix":"{index:x}:16"}},"body":"{body}","num_tokens":28,"group":"g{}"}}"#,
                index / 4
            )
        })
        .collect();
    let groups = items.len() / 4;
    format!(
        r#"{{"step":0,"model":"{MODEL}","min_version":1,"target_groups":{groups},"items":[{}]}}"#,
        items.join(",")
    )
    .into_bytes()
}
