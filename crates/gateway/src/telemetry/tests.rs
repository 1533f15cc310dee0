use super::non_blocking_writer::parts_of_lines;

/// Guards against log lines that are lost or cut in the middle when many are written together.
#[test]
fn lines_are_written_in_whole_parts() {
    let lines: String = (0..200).map(|index| format!("event=line index={index:0100}\n")).collect();
    let long = format!("{}{}\n{lines}", lines, "x".repeat(9_000));
    for text in ["", "one\n", &lines, &long] {
        let parts = parts_of_lines(text);
        assert_eq!(parts.concat(), text);
        let is_whole = |part: &&str| part.ends_with('\n');
        let is_short = |part: &&str| part.len() <= 4_096 || part.matches('\n').count() == 1;
        assert!(parts.iter().all(|part| is_whole(part) && is_short(part)));
    }
}
