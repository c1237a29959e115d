//! Tests of the fake plain service and the fake scorer.

use std::time::Duration;

use godwitspool_fakes::{
    PlainFault, PlainOptions, PlainService, ScoreRequest, ScoreResponse, Scorer,
};
use rstest::rstest;

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(500)))
        .http_status_as_error(false)
        .build()
        .into()
}

fn post(service: &PlainService, path: &str) -> Result<(u16, String), ureq::Error> {
    let url = format!("http://{}{path}", service.address());
    let mut answer = agent().post(url).send("linen")?;
    let status = answer.status().as_u16();
    Ok((status, answer.body_mut().read_to_string()?))
}

#[test]
fn echoes_the_call_and_its_status() {
    let service = PlainService::start(PlainOptions::default()).unwrap();
    let (status, body) = post(&service, "/book?call=7&status=418").unwrap();
    assert_eq!(status, 418);
    for part in ["POST", "/book?call=7", "linen"] {
        assert!(body.contains(part), "{part} is missing in {body}");
    }
    assert_eq!(service.calls("7"), 1);
}

#[rstest]
#[case::cut(PlainFault::Cut)]
#[case::lost(PlainFault::Lost)]
fn a_call_with_a_cut_or_lost_response_runs(#[case] fault: PlainFault) {
    let service = PlainService::start(PlainOptions::default()).unwrap();
    service.set_fault(fault);
    assert!(post(&service, "/?call=1").is_err());
    assert_eq!(service.calls("1"), 1);
    service.set_fault(PlainFault::None);
    assert!(post(&service, "/?call=2").is_ok());
}

#[test]
fn a_poison_call_crashes_the_service_until_it_is_restarted() {
    let service = PlainService::start(PlainOptions::default()).unwrap();
    assert!(post(&service, "/poison-prompt").is_err());
    assert!(service.is_crashed());
    assert!(post(&service, "/").is_err());
    service.restart();
    assert!(post(&service, "/").is_ok());
}

#[test]
fn the_same_tokens_get_the_same_score() {
    let scorer = Scorer::start(([127, 0, 0, 1], 0).into(), 0).unwrap();
    let url = format!("http://{}/score", scorer.address());
    let score = |text: &str| {
        let params = ScoreRequest {
            sample: "s".into(),
            tokens: vec![text.into()],
        };
        let mut answer = agent().post(&url).send_json(&params).unwrap();
        answer
            .body_mut()
            .read_json::<ScoreResponse>()
            .unwrap()
            .score
    };
    assert!((score("a") - score("a")).abs() < f64::EPSILON);
    assert!((score("a") - score("b")).abs() > f64::EPSILON);
}
