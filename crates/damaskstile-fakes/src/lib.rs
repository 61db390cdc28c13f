//! stub
