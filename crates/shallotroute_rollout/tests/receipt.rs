//! The encoding of receipts.

use googletest::prelude::*;
use shallotroute_rollout::receipt::Receipt;

/// Guards against a bit order that differs from the trainers', and against receipts with groups
/// that the step does not have.
#[gtest]
fn bits_are_counted_from_the_least_significant() {
    let mut receipt = Receipt::new(vec![0b0000_0101]);
    receipt.insert(9);
    expect_that!(receipt.as_bytes(), eq(&[0b0000_0101, 0b0000_0010]));
    expect_true!(receipt.contains(0) && receipt.contains(2) && receipt.contains(9));
    expect_false!(receipt.contains(1) || receipt.contains(40));
    expect_that!(receipt.count(), eq(3));
    expect_true!(receipt.is_within(10));
    expect_false!(receipt.is_within(9));
    expect_true!(Receipt::new(vec![255, 0]).is_within(8));
}
