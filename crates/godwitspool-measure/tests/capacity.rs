//! The capacity page must match the fitted slopes in `docs/measurements`, so that a new measurement
//! does not leave outdated figures on the page.

use std::{fs, path::Path};

use godwitspool_measure::{page_matches, write_page};

const MEASUREMENTS: &str = "../../docs/measurements";
const PAGE: &str = "../../docs/CAPACITY.md";
const SERIES: &str = "usage-message-bytes,requests,bytes,";

#[test]
fn page_matches_the_slopes() {
    assert!(page_matches(Path::new(MEASUREMENTS), Path::new(PAGE)).unwrap());
}

#[test]
fn changed_slope_shows_in_the_page() {
    let folder = std::env::temp_dir().join(format!("capacity-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let fits = fs::read_to_string(Path::new(MEASUREMENTS).join("fits.csv")).unwrap();
    let change = |line: &str| match line.strip_prefix(SERIES) {
        Some(_) => format!("{SERIES}0.0,1000.0,0.0\n"),
        None => format!("{line}\n"),
    };
    let changed: String = fits.lines().map(change).collect();
    assert_ne!(changed, fits);
    fs::write(folder.join("fits.csv"), changed).unwrap();
    let page = folder.join("CAPACITY.md");
    fs::copy(PAGE, &page).unwrap();
    assert!(!page_matches(&folder, &page).unwrap());
    write_page(&folder, &page).unwrap();
    assert!(page_matches(&folder, &page).unwrap());
    fs::remove_dir_all(&folder).unwrap();
}
