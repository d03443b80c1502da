//! What the allocator keeps of memory that was freed.

/// Size from which an allocation is mapped by itself, and given back when it is freed.
///
/// The allocator would raise this limit to the largest size that was freed, up to 32 MiB. Buffers
/// of bodies then stay with the arena of their thread, and each arena keeps its own peak: with
/// hundreds of callers a process takes many times what its buffers hold at any moment.
#[cfg(target_env = "gnu")]
const MAPPED_BYTES: i32 = 128 * 1024;

/// Gives the memory of large buffers back when they are freed; returns whether that was set.
///
/// To be called before other threads are started.
#[cfg(target_env = "gnu")]
pub fn return_large_buffers() -> bool {
    // SAFETY: `mallopt` sets a parameter of the allocator, and no other thread runs yet.
    unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BYTES) == 1 }
}

/// Other allocators have no such setting.
#[cfg(not(target_env = "gnu"))]
pub fn return_large_buffers() -> bool {
    true
}
