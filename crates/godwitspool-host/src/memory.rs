//! How the system's allocator keeps free memory.

/// Size from which an allocation is a mapping of its own, which the system gets back when it is freed.
/// glibc raises this size to that of the largest mapping that was freed, up to 32 MB, after which bodies
/// lie in its heaps and stay there. Bodies of ordinary requests are smaller and need no mapping. With
/// 1 MB, a crowd of bodies of 900 KB took 113 MB of a host of 120 MB rather than 81.
#[cfg(target_env = "gnu")]
const MAPPED_BYTES: i32 = 256 * 1024;
/// Number of the allocator's heaps. Each keeps what its threads once used, and the default is eight for
/// each core. With 2, four busy connections took 32 to 40 µs for a request rather than 20.
#[cfg(target_env = "gnu")]
const HEAPS: i32 = 8;

/// Parameters of `mallopt` (malloc.h).
#[cfg(target_env = "gnu")]
const M_MMAP_THRESHOLD: i32 = -3;
#[cfg(target_env = "gnu")]
const M_ARENA_MAX: i32 = -8;

#[cfg(target_env = "gnu")]
#[allow(
    unsafe_code,
    reason = "the allocator's settings have no safe interface"
)]
mod glibc {
    use std::ffi::c_int;

    unsafe extern "C" {
        pub safe fn mallopt(param: c_int, value: c_int) -> c_int;
        pub safe fn malloc_trim(pad: usize) -> c_int;
    }
}

/// Sets the allocator up for a machine with little memory. Other allocators than glibc's are left as
/// they are.
pub fn keep_little() {
    #[cfg(target_env = "gnu")]
    for (param, value) in [(M_MMAP_THRESHOLD, MAPPED_BYTES), (M_ARENA_MAX, HEAPS)] {
        if glibc::mallopt(param, value) == 0 {
            log::warn!(param, value; "can't set up the allocator");
        }
    }
}

/// Gives free memory back to the system.
pub fn trim() {
    #[cfg(target_env = "gnu")]
    glibc::malloc_trim(0);
}
