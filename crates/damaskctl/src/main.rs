//! stub
fn main() {}
