use {
    super::{extra_call_budget::ExtraCallBudget, relocator::continued_body},
    bytes::Bytes,
    serde_json::{Value, json},
};

/// Guards against a moved answer that starts from the beginning or changes other fields of
/// the caller's request.
#[test]
fn a_moved_request_continues_the_answer() {
    let request = json!({
        "stream": true,
        "messages": [{ "role": "user", "content": "what pay?" }],
        "metadata": { "length": 9 },
    });
    let body = continued_body(&Bytes::from(request.to_string()), "abc def ", 2).unwrap();
    let mut value: Value = serde_json::from_slice(&body).unwrap();
    let last = value["messages"].as_array_mut().unwrap().pop().unwrap();
    assert_eq!(last, json!({ "role": "assistant", "content": "abc def " }));
    let fields = value.as_object_mut().unwrap();
    assert_eq!(fields.remove("continue_from"), Some(json!(2)));
    assert_eq!(fields.remove("continue_final_message"), Some(json!(true)));
    assert_eq!(fields.remove("add_generation_prompt"), Some(json!(false)));
    assert_eq!(value, request);
}

/// Guards against moves that cost as much of the hedge budget as a hedge, and against moves
/// that exceed the budget.
#[test]
fn moves_take_a_part_of_the_budget() {
    let budget = ExtraCallBudget::new(0.02, 1.0);
    (0..100).for_each(|_| budget.count_request(0));
    assert_eq!((0..20).filter(|_| budget.take_cost(0, 0.25)).count(), 8);
    assert!(!budget.take(0));
}
