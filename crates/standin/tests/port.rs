//! An address at which connections are refused stays taken.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use mimosapass_standin::relay::{Admission, Relay};
use mimosapass_standin::target::{Reply, ScriptedTarget};

/// Checks that connections are refused and that no other listener can get the address.
fn assert_refused_and_taken(addr: SocketAddr) {
    let refused = TcpStream::connect(addr).expect_err("connection refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    let taken = TcpListener::bind(addr).expect_err("the address is taken");
    assert_eq!(taken.kind(), ErrorKind::AddrInUse);
}

/// Guards against a request that reaches the target of another test over a closed path.
#[test]
fn path_that_refuses_connections_keeps_its_address() {
    let target = ScriptedTarget::start("i-1", |_| Reply::Steps(Vec::new()));
    let path = Relay::start(target.addr).expect("a port");
    path.set_admission(Admission::Refused);
    assert_refused_and_taken(path.addr());
    path.set_admission(Admission::Open);
    TcpStream::connect(path.addr()).expect("it is open again");
}

/// As above, for targets that have crashed.
#[test]
fn target_that_has_crashed_keeps_its_address() {
    let target = ScriptedTarget::start("i-1", |_| Reply::Steps(Vec::new()));
    target.crash();
    let end = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect(target.addr).is_ok() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_refused_and_taken(target.addr);
}
