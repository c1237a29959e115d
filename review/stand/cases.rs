//! The course of each case. Each returns the exit status.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::Json,
    system::{Submission, System, cut, plain_route, route, stream_route},
    worker::{ADVICE_EVENTS, POISON, Worker},
};

pub fn run(case: &str, folder: &str, trouble: bool) -> i32 {
    match case {
        "new-route" => new_route(folder, trouble),
        "single-version" => single_version(folder, trouble),
        "line-ends" => line_ends(folder, trouble),
        "empty-batch" => empty_batch(folder, trouble),
        "unreachable-worker" => unreachable_worker(folder, trouble),
        "broken-off" => broken_off(folder, trouble),
        "crashing-request" => crashing_request(folder, trouble),
        "lost-worker" => lost_worker(folder, trouble),
        "left-open" => left_open(folder, trouble),
        _ => {
            eprintln!("no case {case}");
            2
        }
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn items(batch: &str, count: usize, events: u64, group: usize) -> Vec<(String, u64, String)> {
    let item = |n: usize| {
        (
            format!("{batch}i{n}"),
            events,
            format!("{batch}g{}", n / group),
        )
    };
    (0..count).map(item).collect()
}

/// Reads batches until all of their results are listed, or the time is up. Returns the results.
fn read_whole(
    system: &System,
    host: usize,
    batches: &[(String, usize)],
    seconds: u64,
) -> BTreeMap<String, Vec<Json>> {
    let due = Instant::now() + Duration::from_secs(seconds);
    let mut known: BTreeMap<String, Vec<Json>> = BTreeMap::new();
    loop {
        let mut open = false;
        for (batch, total) in batches {
            let results = known.entry(batch.clone()).or_default();
            if results.len() < *total {
                system.read_on(host, batch, results);
                open |= results.len() < *total;
            }
        }
        if !open || Instant::now() > due {
            return known;
        }
        sleep_ms(100);
    }
}

/// A route is added while the owner of a batch's partition is cut off from the store.
fn new_route(folder: &str, trouble: bool) -> i32 {
    let system = System::start(folder, 3, 120);
    let log = &system.log;
    let model = "m0";
    let old = route("dues", "/dues/", false);
    system.configure(1, std::slice::from_ref(&old), &[model], 16);
    for n in 0..2 {
        system.add_worker(&format!("i-{n}"), 16, &[model], 20);
    }
    system.await_ready();
    sleep_ms(2_000);
    let step = |batch: &str| Submission {
        model,
        step: 0,
        min_version: 1,
        groups: 2,
        items: items(batch, 4, 5, 2),
    };
    system.submit_until_accepted(0, "/dues/", "warm", &step("warm"));
    let warm = read_whole(&system, 0, &[("warm".to_owned(), 4)], 15);
    if warm["warm"].len() < 4 {
        log.line("couldn't run: the first batch isn't served");
        return 2;
    }
    let mut routes = vec![old];
    for round in 1..=4 {
        let dead = add_route(&system, &mut routes, round, trouble);
        if dead > 0 {
            return verdict(&system, "MIXED", true);
        }
        sleep_ms(4_000);
    }
    verdict(&system, "MIXED", false)
}

/// Cuts one host off from the store, adds a route, and submits batches on it. Returns the number of results
/// that are listed as dead.
fn add_route(system: &System, routes: &mut Vec<String>, round: u64, trouble: bool) -> usize {
    let log = &system.log;
    // The host that owns most of the partitions of results is the one that is cut off.
    let holders = system.store.holders("keyed.godwitspool-results");
    let count = |index: usize| {
        let ip = format!("{}:", system.hosts[index].ip);
        holders
            .iter()
            .filter(|(_, member)| member.starts_with(&ip))
            .count()
    };
    let victim = (0..system.hosts.len())
        .max_by_key(|index| count(*index))
        .unwrap_or_default();
    let other = (victim + 1) % system.hosts.len();
    log.line(&format!(
        "{} owns {} partitions",
        system.hosts[victim].node,
        count(victim)
    ));
    if trouble {
        cut(&system.hosts[victim], log, true);
    }
    let began = Instant::now();
    sleep_ms(100);
    let prefix = format!("/pickup{round}/");
    routes.push(route(&format!("pickup{round}"), &prefix, false));
    system.configure(1 + round, routes, &["m0"], 16);
    // Without a cut, all hosts have the configuration long before the first submission.
    sleep_ms(200);
    let added = Instant::now();
    let mut batches = Vec::new();
    while added.elapsed() < Duration::from_millis(1_800) {
        let batch = format!("lot{round}n{:02}", batches.len());
        let step = Submission {
            model: "m0",
            step: 0,
            min_version: 1,
            groups: 2,
            items: items(&batch, 4, 5, 2),
        };
        if system.submit(other, &prefix, &batch, &step) == Some(202) {
            batches.push((batch, 4));
        }
        sleep_ms(50);
    }
    thread::sleep(Duration::from_millis(5_500).saturating_sub(began.elapsed()));
    if trouble {
        cut(&system.hosts[victim], log, false);
    }
    let results = read_whole(system, other, &batches, 15);
    let listed: usize = results.values().map(Vec::len).sum();
    let dead = results
        .values()
        .flatten()
        .filter(|result| result.get("state").text() == "dead")
        .count();
    log.line(&format!(
        "{} batches accepted on the new route, {listed} of {} results listed, {dead} dead; no worker answered 422 or 500, \
         no batch was ended, the route is still there",
        batches.len(),
        batches.len() * 4
    ));
    dead
}

/// The host that runs items whose results need a single version is stopped, and a newer version has
/// been named.
fn single_version(folder: &str, trouble: bool) -> i32 {
    let system = System::start(folder, 3, 120);
    let log = &system.log;
    let models = ["m0", "m1", "m2"];
    system.configure(1, &[route("dues", "/dues/", true)], &models, 4);
    for n in 0..6 {
        system.add_worker(&format!("i-{n}"), 4, &models, 100);
    }
    system.await_ready();
    sleep_ms(2_000);
    let workers = system.workers.lock().unwrap().clone();
    for model in models {
        system.name_version(model, 2);
    }
    system.until(25, "two workers are at version 2 of each model", || {
        let loaded = |model: &str| {
            workers
                .iter()
                .filter(|worker| worker.version(model) == 2)
                .count()
        };
        models.iter().all(|model| loaded(model) >= 2)
    });
    sleep_ms(2_500);
    // The trainer asks a step ahead: step 3 is open while step 2 still runs.
    let before = Submission {
        model: "m0",
        step: 2,
        min_version: 1,
        groups: 1,
        items: items("prior", 2, 5, 2),
    };
    let step = Submission {
        model: "m0",
        step: 3,
        min_version: 2,
        groups: 2,
        items: items("lot", 6, 40, 3),
    };
    system.submit_until_accepted(0, "/dues/", "prior", &before);
    system.submit_until_accepted(0, "/dues/", "lot", &step);
    let submitted = Instant::now();
    let running = || -> usize { workers.iter().map(|worker| worker.running_of("lot")).sum() };
    system.until(5, "all items of step 3 run", || running() == 6);
    let whole = read_whole(&system, 0, &[("prior".to_owned(), 2)], 5);
    if whole["prior"].len() < 2 {
        log.line("couldn't run: step 2 isn't served");
        return 2;
    }
    system.end_batch(0, "prior");
    sleep_ms(500);
    system.name_version("m0", 3);
    let named = Instant::now();
    system.until(5, "a worker is ordered to load version 3", || {
        workers.iter().any(|worker| worker.was_ordered("m0", 3))
    });
    sleep_ms(700);
    let owner = system.hosts.iter().position(|host| {
        let starts = host.lines("item starts");
        starts.iter().any(|line| line.contains("batch=lot "))
    });
    let Some(owner) = owner else {
        log.line("couldn't run: no host has started the items");
        return 2;
    };
    if trouble {
        system.hosts[owner].terminate();
        log.line(&format!(
            "{} runs the items and gets SIGTERM",
            system.hosts[owner].node
        ));
    }
    let stopped = Instant::now();
    let mut known = Vec::new();
    while submitted.elapsed() < Duration::from_millis(12_000) && known.len() < 6 {
        // Clients are sent to hosts that are ready.
        system.read_on((owner + 1) % system.hosts.len(), "lot", &mut known);
        if let Some(status) = system.hosts[owner].ended() {
            system.hosts[owner].restart();
            log.line(&format!(
                "{} has ended ({status}) and is started again",
                system.hosts[owner].node
            ));
        }
        sleep_ms(400);
    }
    let now = Instant::now();
    // Unfinished items, and how long they have been at no worker in steady state.
    let steady = stopped + Duration::from_millis(3_000);
    let listed: Vec<&str> = known.iter().map(|result| result.get("id").text()).collect();
    let mut forgotten = 0;
    for (id, _, _) in &step.items {
        let seen: Vec<_> = workers
            .iter()
            .filter_map(|worker| worker.items().get(id).copied())
            .collect();
        let finished = seen.iter().any(|(_, finished)| *finished);
        let last = seen
            .iter()
            .map(|(at, _)| *at)
            .max()
            .unwrap_or(submitted)
            .max(steady);
        let absent = now.saturating_duration_since(last);
        if !listed.contains(&id.as_str()) {
            log.line(&format!("item {id}: finished at a worker: {finished}, at no worker in steady state for {absent:?}"));
            forgotten += usize::from(!finished && absent >= Duration::from_secs(5));
        }
    }
    let busy: usize = workers.iter().map(|worker| worker.running()).sum();
    log.line(&format!(
        "step out of time: {} of 6 results listed, {forgotten} unfinished items at no worker for 5 s; {busy} requests at the workers; \
         the last version was named {:?} ago; {} refusals of items",
        known.len(), named.elapsed(), log.refusals()
    ));
    let versions: Vec<String> = workers
        .iter()
        .map(|worker| format!("{} {}", worker.name, worker.version("m0")))
        .collect();
    log.line(&format!("versions of m0: {}", versions.join(", ")));
    system.end_batch((owner + 1) % system.hosts.len(), "lot");
    verdict(&system, "LOST", forgotten > 0)
}

/// For some seconds, workers answer a few items with a valid head and then line ends without end.
fn line_ends(folder: &str, trouble: bool) -> i32 {
    let system = System::start(folder, 3, 120);
    let log = &system.log;
    system.configure(1, &[route("dues", "/dues/", false)], &["m0"], 16);
    for n in 0..9 {
        system.add_worker(&format!("i-{n}"), 16, &["m0"], 20);
    }
    system.await_ready();
    sleep_ms(2_000);
    // The platform starts a process again after it has ended.
    let ends: Arc<Vec<AtomicU32>> =
        Arc::new(system.hosts.iter().map(|_| AtomicU32::new(0)).collect());
    for number in 0..system.hosts.len() {
        let (system, ends) = (Arc::clone(&system), Arc::clone(&ends));
        thread::spawn(move || {
            let host = &system.hosts[number];
            loop {
                if let Some(status) = host.ended() {
                    ends[number].fetch_add(1, Ordering::SeqCst);
                    system
                        .log
                        .line(&format!("{} ended by itself: {status}", host.node));
                    sleep_ms(500);
                    host.restart();
                    system.log.line(&format!("{} started again", host.node));
                }
                sleep_ms(100);
            }
        });
    }
    let workers = system.workers.lock().unwrap().clone();
    let ended = || -> Vec<u32> {
        ends.iter()
            .map(|count| count.load(Ordering::SeqCst))
            .collect()
    };
    let is_broken = || ended().iter().filter(|count| **count >= 3).count() >= 2;
    // Three trainers ask for a step each 4 s. Each step has 12 s.
    let mut readers = Vec::new();
    let began = Instant::now();
    for second in 0..92_u64 {
        let step = second / 4;
        if second % 4 == 0 && step < 21 {
            for trainer in 0..3 {
                let system = Arc::clone(&system);
                readers.push(thread::spawn(move || run_step(&system, trainer, step)));
            }
        }
        // The trouble lasts 5 s, and comes again each 20 s.
        if trouble && second % 20 == 4 && second < 80 {
            log.line("5 of 9 workers spoil 1 in 34 of their answers");
            workers.iter().take(5).for_each(|worker| worker.spoil(34));
        } else if second % 20 == 9 {
            workers.iter().for_each(|worker| worker.spoil(0));
            log.line("all workers are sound");
        }
        for host in &system.hosts {
            if !host.is_ready() {
                log.line(&format!("{} isn't ready", host.node));
            }
        }
        if is_broken() || (!trouble && second == 40) {
            break;
        }
        thread::sleep(Duration::from_secs(second + 1).saturating_sub(began.elapsed()));
    }
    for host in &system.hosts {
        for line in host.lines("stands still") {
            log.line(&format!("{} logged: {line}", host.node));
        }
    }
    let late: usize = readers
        .into_iter()
        .filter(|reader| reader.is_finished())
        .filter_map(|reader| reader.join().ok())
        .filter(|listed| *listed < 72)
        .count();
    log.line(&format!(
        "processes that ended by themselves, by host: {:?}; {late} steps ran out of time",
        ended()
    ));
    verdict(&system, "Fault", is_broken())
}

/// A trainer's step of 72 items, for which it waits 12 s. Returns the number of results.
fn run_step(system: &System, trainer: usize, step: u64) -> usize {
    let batch = format!("lot{trainer}s{step:02}");
    let submission = Submission {
        model: "m0",
        step,
        min_version: 1,
        groups: 9,
        items: items(&batch, 72, 20, 8),
    };
    let asked = Instant::now();
    for attempt in 0..3 {
        let host = (trainer + step as usize + attempt) % system.hosts.len();
        if system.submit(host, "/dues/", &batch, &submission) == Some(202) {
            break;
        }
    }
    let mut known = Vec::new();
    let mut host = trainer;
    while asked.elapsed() < Duration::from_secs(12) && known.len() < 72 {
        // After a read without an answer, the client asks another host.
        if system.read_on(host, &batch, &mut known) != Some(200) {
            host = (host + 1) % system.hosts.len();
        }
        sleep_ms(300);
    }
    let (listed, took) = (known.len(), asked.elapsed());
    system.log.line(&format!(
        "client: {batch}: {listed} of 72 results after {took:?}"
    ));
    system.end_batch(host, &batch);
    listed
}

/// A trainer ends batches before they have a result, and their time to live passes.
fn empty_batch(folder: &str, trouble: bool) -> i32 {
    let system = System::start(folder, 2, 20);
    let log = &system.log;
    system.configure(1, &[route("dues", "/dues/", false)], &["m0"], 16);
    for n in 0..2 {
        system.add_worker(&format!("i-{n}"), 16, &["m0"], 100);
    }
    system.await_ready();
    sleep_ms(2_000);
    let step = |batch: &str, first: u64, second: u64| Submission {
        model: "m0",
        step: 0,
        min_version: 1,
        groups: 1,
        items: vec![
            (format!("{batch}i0"), first, format!("{batch}g0")),
            (format!("{batch}i1"), second, format!("{batch}g0")),
        ],
    };
    let whole = |kind: &str, seconds: u64| {
        let batches: Vec<_> = (0..16).map(|n| (format!("{kind}{n:02}"), 2)).collect();
        let before = log.refusals();
        for (batch, _) in &batches {
            system.submit_until_accepted(0, "/dues/", batch, &step(batch, 4, 30));
        }
        let results = read_whole(&system, 0, &batches, seconds);
        let listed = results.values().map(Vec::len).sum::<usize>();
        log.line(&format!(
            "{kind}: {listed} of 32 results listed, {} refusals",
            log.refusals() - before
        ));
        results
            .into_iter()
            .filter(|(_, results)| results.len() < 2)
            .map(|(batch, _)| batch)
            .collect::<Vec<_>>()
    };
    if !whole("first", 15).is_empty() {
        log.line("couldn't run: the first batches aren't served");
        return 2;
    }
    // One trainer in five ends its batch right after it was accepted.
    let mut kept = Vec::new();
    for n in 0..20 {
        let ends = trouble && n % 5 == 0;
        let batch = format!("{}{n:02}", if ends { "zended" } else { "middle" });
        system.submit_until_accepted(0, "/dues/", &batch, &step(&batch, 10, 10));
        if ends {
            system.end_batch(0, &batch);
        } else {
            kept.push((batch, 2));
        }
    }
    let results = read_whole(&system, 0, &kept, 10);
    if results.values().any(|results| results.len() < 2) {
        log.line("couldn't run: the kept batches aren't served");
        return 2;
    }
    log.line("the time to live of these batches passes");
    sleep_ms(60_000);
    let asked = Instant::now();
    let stuck = whole("later", 12);
    log.line(&format!(
        "batches without all results {:?} after they were asked: {stuck:?}",
        asked.elapsed()
    ));
    for host in &system.hosts {
        for line in host
            .lines("partition lost")
            .iter()
            .chain(&host.lines("partition closed"))
        {
            log.line(&format!("{} logged: {line}", host.node));
        }
    }
    let workers = system.workers.lock().unwrap().clone();
    let busy: usize = workers.iter().map(|worker| worker.running()).sum();
    log.line(&format!("{busy} requests at the workers"));
    // An item counts if another one of its step had begun.
    let mut forgotten = 0;
    for batch in &stuck {
        let (mut begun, mut absent_items) = (false, 0);
        for (id, _, _) in step(batch, 4, 30).items {
            let seen: Vec<_> = workers
                .iter()
                .filter_map(|worker| worker.items().get(&id).copied())
                .collect();
            let finished = seen.iter().any(|(_, finished)| *finished);
            let absent = seen
                .iter()
                .map(|(at, _)| at.elapsed())
                .min()
                .unwrap_or(asked.elapsed());
            log.line(&format!(
                "item {id}: begun {}, finished at a worker {finished}, at no worker for {absent:?}",
                !seen.is_empty()
            ));
            begun |= !seen.is_empty();
            absent_items += usize::from(!finished && absent >= Duration::from_secs(5));
        }
        forgotten += if begun { absent_items } else { 0 };
    }
    log.line(&format!(
        "{forgotten} unfinished items were at no worker for 5 s when their step ran out of time"
    ));
    verdict(&system, "LOST", forgotten > 0)
}

/// A request crashes each worker that begins to run it, and comes again.
fn crashing_request(folder: &str, trouble: bool) -> i32 {
    let system = System::start(folder, 3, 120);
    let log = &system.log;
    system.configure(1, &[plain_route()], &["m0"], 16);
    let mut next = 0;
    while next < 4 {
        system.add_plain_worker(&format!("d-{next}"), trouble);
        next += 1;
    }
    system.await_ready();
    system.until(10, "a request is served", || {
        system.request(0, "/booking/sound", "warm", b"sound") == Some(200)
    });
    let began = Instant::now();
    let (mut attempt, mut served, mut sound) = (0, 0, 0);
    let mut asked = None::<Instant>;
    while began.elapsed() < Duration::from_secs(40) {
        // A crashed worker is back after some seconds, under another name.
        let workers = system.workers.lock().unwrap().clone();
        let lost = workers.iter().filter(|worker| worker.crashed().is_some());
        let back = lost.filter(|worker| {
            let at = worker.crashed().map(|(_, at)| at.elapsed());
            at.is_some_and(|at| at > Duration::from_secs(2))
        });
        while 4 + back.clone().count() > next {
            system.add_plain_worker(&format!("d-{next}"), trouble);
            log.line(&format!("d-{next} started in place of a crashed worker"));
            next += 1;
        }
        // The same caller sends the same path and body again, at any host.
        if asked.is_none_or(|at| at.elapsed() > Duration::from_millis(2_500)) {
            asked = Some(Instant::now());
            let (host, id) = (attempt % system.hosts.len(), format!("c{attempt:02}"));
            attempt += 1;
            let status = system.request(host, "/booking/same", &id, POISON);
            let node = &system.hosts[host].node;
            log.line(&format!("client: request {id} at {node} -> {status:?}"));
        }
        sound += 1;
        let id = format!("s{sound:04}");
        let status = system.request(sound % system.hosts.len(), "/booking/sound", &id, b"sound");
        served += usize::from(status == Some(200));
        sleep_ms(50);
    }
    let mut crashes: Vec<_> = system
        .workers
        .lock()
        .unwrap()
        .iter()
        .filter_map(|worker| worker.crashed())
        .collect();
    crashes.sort_by_key(|(_, at)| *at);
    let third = crashes
        .get(2)
        .map(|(_, at)| *at + Duration::from_millis(3_000));
    let mut late: Vec<&String> = Vec::new();
    for (id, at) in &crashes {
        if third.is_some_and(|third| *at > third) && !late.contains(&id) {
            late.push(id);
        }
    }
    log.line(&format!(
        "{attempt} attempts, {} crashes; attempts that reached workers later than 3 s after the third crash: {late:?}; \
         {served} of {sound} sound requests served",
        crashes.len()
    ));
    verdict(&system, "BUDGET", late.len() > 3)
}

/// A worker is lost for good while it runs an item whose result needs a single version, and the other
/// workers have loaded a newer one.
fn lost_worker(folder: &str, trouble: bool) -> i32 {
    const LONG: u64 = 75;
    let system = System::start(folder, 3, 120);
    let log = &system.log;
    system.configure(1, &[route("dues", "/dues/", true)], &["m0"], 4);
    for n in 0..6 {
        system.add_worker(&format!("i-{n}"), 4, &["m0"], 100);
    }
    system.await_ready();
    sleep_ms(2_000);
    let workers = system.workers.lock().unwrap().clone();
    system.name_version("m0", 2);
    system.until(20, "all workers are at version 2", || {
        workers.iter().all(|worker| worker.version("m0") == 2)
    });
    sleep_ms(7_000);
    // The trainer asks step 3 ahead, which allows versions 2 and newer, and then names version 3. Each
    // worker runs one item; one of the items is long.
    let batch = random_id();
    let mut step = Submission {
        model: "m0",
        step: 3,
        min_version: 2,
        groups: 2,
        items: items(&batch, 6, 5, 3),
    };
    step.items[0].1 = LONG;
    let long = step.items[0].0.clone();
    system.submit_until_accepted(0, "/dues/", &batch, &step);
    let submitted = Instant::now();
    let running = || -> usize { workers.iter().map(|worker| worker.running_of(&batch)).sum() };
    system.until(3, "all items run", || running() == 6);
    system.name_version("m0", 3);
    let named = Instant::now();
    let Some(runner) = workers.iter().find(|worker| worker.running_of(&long) == 1) else {
        log.line("couldn't run: the long item runs nowhere");
        return 2;
    };
    let others = || workers.iter().filter(|worker| worker.name != runner.name);
    system.until(5, "the other workers are at version 3", || {
        others().all(|worker| worker.version("m0") == 3)
    });
    if trouble {
        log.line(&format!("{} is lost for good", runner.name));
        runner.crash();
    }
    let mut known = Vec::new();
    let (mut most, mut last_run) = (0, None);
    while submitted.elapsed() < Duration::from_secs(12) && known.len() < 6 {
        system.read_on(1, &batch, &mut known);
        let at_work = workers.iter().map(|worker| worker.running()).sum::<usize>();
        if !trouble || at_work > 1 {
            most = most.max(at_work);
        }
        if others().any(|worker| worker.items().contains_key(&long)) {
            last_run = Some(Instant::now());
        }
        sleep_ms(100);
    }
    let seen = |worker: &Worker| worker.items().get(&long).copied();
    let finished = workers
        .iter()
        .filter_map(|worker| seen(worker))
        .any(|(_, finished)| finished);
    let absent = workers
        .iter()
        .filter_map(|worker| seen(worker))
        .map(|(at, _)| at.elapsed())
        .min()
        .unwrap_or_default();
    let since_named = named.elapsed();
    log.line(&format!(
        "step out of time: {} of 6 results listed; the long item: finished at a worker {finished}, run at another worker {}, \
         at no worker for {absent:?}; at most {most} of 20 places in use; version 3 was named {since_named:?} ago; \
         {} refusals of items",
        known.len(),
        last_run.is_some(),
        log.refusals()
    ));
    let versions: Vec<String> = others()
        .map(|worker| format!("{} {}", worker.name, worker.version("m0")))
        .collect();
    log.line(&format!("versions of m0: {}", versions.join(", ")));
    system.end_batch(1, &batch);
    // The last 5 s are steady: the worker was lost more than 3 s before them, and the version was named more
    // than 6 s before them.
    let steady = absent > Duration::from_secs(8) && since_named > Duration::from_secs(11);
    verdict(&system, "LOST", !finished && known.len() == 5 && steady)
}

/// A trainer leaves before it has ended its batch. The batch stays open, and another client of the tenant
/// reads it after the time to live.
fn left_open(folder: &str, trouble: bool) -> i32 {
    const TTL_S: u64 = 20;
    let system = System::start(folder, 3, TTL_S);
    let log = &system.log;
    system.configure(1, &[route("dues", "/dues/", false)], &["m0"], 16);
    for n in 0..4 {
        system.add_worker(&format!("i-{n}"), 16, &["m0"], 20);
    }
    system.await_ready();
    sleep_ms(2_000);
    let mut batches = Vec::new();
    for n in 0..10 {
        let batch = random_id();
        let step = Submission {
            model: "m0",
            step: n,
            min_version: 1,
            groups: 2,
            items: items(&batch, 8, 5, 4),
        };
        system.submit_until_accepted(n as usize, "/dues/", &batch, &step);
        batches.push((batch, 8));
    }
    let submitted = Instant::now();
    let whole = read_whole(&system, 0, &batches, 12);
    if whole.values().any(|results| results.len() < 8) {
        log.line("couldn't run: the batches aren't served");
        return 2;
    }
    // One trainer in five leaves; the others end their batches.
    let mut open = Vec::new();
    for (n, (batch, _)) in batches.iter().enumerate() {
        if trouble && n % 5 == 0 {
            log.line(&format!(
                "the trainer of {batch} leaves, and doesn't end it"
            ));
            open.push(batch.clone());
        } else {
            system.end_batch(n % system.hosts.len(), batch);
        }
    }
    let mut lost = 0;
    for after_s in [10, 25, 40, 55, 70, 80] {
        thread::sleep(Duration::from_secs(after_s).saturating_sub(submitted.elapsed()));
        for (n, batch) in open.iter().enumerate() {
            for host in 0..system.hosts.len() {
                let answer = system.read(host, batch, 0);
                let status = answer.as_ref().map(|answer| answer.status);
                let listed = answer.map_or(0, |answer| answer.body.get("results").list().len());
                log.line(&format!(
                    "client: open batch {n}, {batch}, read from the start at {}, {:.1} s after its submission -> {status:?}, {listed} of 8 results",
                    system.hosts[host].node,
                    submitted.elapsed().as_secs_f64()
                ));
                lost += usize::from(status == Some(404));
            }
        }
    }
    for host in &system.hosts {
        for line in host.lines("batch removed") {
            if open.iter().any(|batch| line.contains(batch.as_str())) {
                log.line(&format!("{} logged: {line}", host.node));
            }
        }
    }
    log.line(&format!(
        "{} batches are open, {lost} reads of them were answered with 404",
        open.len()
    ));
    verdict(&system, "LOST", lost > 0)
}

/// Workers can't be reached for some seconds while versions are named.
fn unreachable_worker(folder: &str, trouble: bool) -> i32 {
    const WORKERS: usize = 6;
    let system = System::start(folder, 4, 120);
    let log = &system.log;
    system.configure(1, &[route("dues", "/dues/", false)], &["m0"], 4);
    for n in 0..WORKERS {
        system.add_worker(&format!("i-{n}"), 4, &["m0"], 60);
    }
    system.await_ready();
    sleep_ms(3_000);
    let workers = system.workers.lock().unwrap().clone();
    // Two workers, and then two others, 12 s each time. The trainer names a version each 4 s, and asks a
    // short step that the other workers serve.
    let mut version = 1;
    for turn in 0..7 {
        let cut_off = match turn {
            0..=2 => &workers[..2],
            4..=6 => &workers[2..4],
            _ => &[],
        };
        if trouble && turn % 4 == 0 {
            cut_off.iter().for_each(|worker| worker.cut(true));
        }
        let began = Instant::now();
        sleep_ms(100);
        version += 1;
        system.name_version("m0", version);
        sleep_ms(1_500);
        let batch = random_id();
        let short = Submission {
            model: "m0",
            step: version,
            min_version: version - 1,
            groups: 2,
            items: items(&batch, 8, 10, 4),
        };
        let host = turn % system.hosts.len();
        system.submit_until_accepted(host, "/dues/", &batch, &short);
        let whole = read_whole(&system, host, &[(batch.clone(), 8)], 2);
        log.line(&format!(
            "short step {version}: {} of 8 results listed",
            whole[&batch].len()
        ));
        system.end_batch(host, &batch);
        sleep_ms(4_000_u64.saturating_sub(began.elapsed().as_millis() as u64));
        if trouble && turn % 4 == 2 {
            cut_off.iter().for_each(|worker| worker.cut(false));
        }
    }
    // From here on nothing is disturbed.
    sleep_ms(3_500);
    version += 1;
    system.name_version("m0", version);
    let named = Instant::now();
    let batch = random_id();
    let step = Submission {
        model: "m0",
        step: version,
        min_version: version - 1,
        groups: 9,
        items: items(&batch, 72, 40, 8),
    };
    system.submit_until_accepted(0, "/dues/", &batch, &step);
    let submitted = Instant::now();
    let mut known = Vec::new();
    let mut most = 0;
    while submitted.elapsed() < Duration::from_secs(12) && known.len() < 72 {
        system.read_on(0, &batch, &mut known);
        most = most.max(workers.iter().map(|worker| worker.running()).sum());
        sleep_ms(300);
    }
    let (mut begun, mut absent) = (0, 0);
    for (id, _, _) in &step.items {
        let seen: Vec<_> = workers
            .iter()
            .filter_map(|worker| worker.items().get(id).copied())
            .collect();
        let finished = seen.iter().any(|(_, finished)| *finished);
        let last = seen.iter().map(|(at, _)| *at).max().unwrap_or(submitted);
        begun += usize::from(!seen.is_empty());
        absent += usize::from(!finished && last.elapsed() >= Duration::from_secs(5));
    }
    let versions: Vec<String> = workers
        .iter()
        .map(|worker| format!("{} {}", worker.name, worker.version("m0")))
        .collect();
    log.line(&format!(
        "step out of time: {} of 72 results listed, {begun} items had begun, {absent} unfinished items at no worker for 5 s; \
         at most {most} of {} places in use; the last version, {version}, was named {:?} ago; versions at the workers: {}",
        known.len(),
        WORKERS * 4,
        named.elapsed(),
        versions.join(", ")
    ));
    verdict(
        &system,
        "LOST",
        known.len() < 72 && begun > 0 && absent > 0 && most < WORKERS * 2,
    )
}

/// Size of a long request's body.
const LONG_BODY: usize = 3 * 1024 * 1024;

/// Some workers break off a few of their answers, which have no length, by a reset: streams, and answers
/// to long requests.
fn broken_off(folder: &str, trouble: bool) -> i32 {
    let system = System::start(folder, 3, 120);
    let log = &system.log;
    let long = plain_route().replace("booking", "long");
    system.configure(1, &[stream_route(), long], &["m0"], 16);
    for n in 0..4 {
        system.add_plain_worker(&format!("d-{n}"), false);
    }
    system.await_ready();
    sleep_ms(2_000);
    let workers = system.workers.lock().unwrap().clone();
    for worker in &workers {
        worker.break_off(0);
    }
    let whole = |id: &str| -> String {
        (1..=ADVICE_EVENTS)
            .map(|event| format!("id: {event}\ndata: {id} {event}\n\n"))
            .collect()
    };
    let (mut sent, mut complete, mut cut_off, mut short) = (0, 0, 0, 0);
    // Two of four workers are faulty, 5 s each time.
    let faulty = |on: bool| {
        if on && trouble {
            workers
                .iter()
                .take(2)
                .for_each(|worker| worker.break_off(50));
            log.line("2 of 4 workers break off 1 in 50 of their answers");
        } else if !on {
            workers.iter().for_each(|worker| worker.break_off(0));
            log.line("all workers are sound");
            sleep_ms(2_000);
        }
    };
    for round in 0..4 {
        faulty(true);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(5) {
            let senders: Vec<_> = (0..8)
                .map(|sender| {
                    sent += 1;
                    let (system, id) = (Arc::clone(&system), format!("a{round}{sent:06}"));
                    thread::spawn(move || {
                        let answer = system.stream(sender % system.hosts.len(), "/advice/", &id);
                        (id, sender % system.hosts.len(), answer)
                    })
                })
                .collect();
            for sender in senders {
                let Ok((id, host, answer)) = sender.join() else {
                    return 2;
                };
                match answer {
                    Ok((200, body, true)) if body == whole(&id) => complete += 1,
                    Ok((200, body, true)) => {
                        short += 1;
                        let node = &system.hosts[host].node;
                        let events = body.matches("data:").count();
                        log.line(&format!(
                            "client: request {id} at {node} -> 200, complete, {events} of {ADVICE_EVENTS} events: {body:?}"
                        ));
                    }
                    other => {
                        cut_off += 1;
                        let text =
                            other.map(|(status, body, _)| (status, body.matches("data:").count()));
                        log.line(&format!(
                            "client: request {id} -> not complete, status and events {text:?}"
                        ));
                    }
                }
            }
        }
        faulty(false);
    }
    // Long requests on an idempotent route.
    let body = vec![b'x'; LONG_BODY];
    let (mut long_sent, mut long_whole, mut long_short) = (0, 0, 0);
    for _ in 0..3 {
        faulty(true);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(5) {
            long_sent += 1;
            let id = format!("l{long_sent:06}");
            let answer = system.long(long_sent % system.hosts.len(), "/long/a", &id, &body);
            match answer {
                Ok((200, text, true)) if text == "body" => long_whole += 1,
                Ok((200, text, true)) => {
                    long_short += 1;
                    log.line(&format!(
                        "client: request {id} -> 200, complete, {text:?} in place of \"body\""
                    ));
                }
                other => log.line(&format!("client: request {id} -> {other:?}")),
            }
        }
        faulty(false);
    }
    log.line(&format!(
        "streams: {sent} requests, {complete} whole, {cut_off} ended without looking complete, {short} looked complete and were not whole"
    ));
    log.line(&format!(
        "long requests: {long_sent}, {long_whole} whole, {long_short} looked complete and were not whole"
    ));
    verdict(&system, "MIXED", short + long_short > 0)
}

/// Returns a batch's id, as clients draw it.
fn random_id() -> String {
    use std::io::Read;
    let mut bytes = [0; 8];
    let read = std::fs::File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    read.expect("random bytes");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn verdict(system: &System, rule: &str, broken: bool) -> i32 {
    let text = if broken { "broken" } else { "held" };
    system.log.line(&format!(
        "{rule} {text}, after {:?}",
        system.began.elapsed()
    ));
    println!("{rule} {text}");
    i32::from(broken)
}
