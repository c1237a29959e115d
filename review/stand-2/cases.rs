use std::{
    collections::HashMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    site::{Item, Options, SIGCONT, SIGKILL, SIGSTOP, SIGTERM, Site, page, request, submission},
};

/// What a case found: nothing, or how the rule was broken.
pub type Outcome = Result<Option<String>, String>;

const KEY: &str = "key-a";
const TENANTS: [(&str, &str); 2] = [("tenant-a", KEY), ("tenant-b", "key-b")];
const SECOND: Duration = Duration::from_secs(1);

pub fn run(case: &str, record: &Arc<Record>, trouble: bool) -> Outcome {
    match case {
        "items" => large_submissions(record, trouble, &MANY_ITEMS),
        "bodies" => large_submissions(record, trouble, &LARGE_BODIES),
        "trial" => trial(record, trouble),
        "lapse" => lapse(record, trouble),
        "growth" => growth(record, trouble),
        "foreign" => foreign(record, trouble),
        _ => Err(format!("no case {case}")),
    }
}

fn start(record: &Arc<Record>, options: Options, engines: u32, slots: u32) -> Result<Site, String> {
    let describe = |error: std::io::Error| error.to_string();
    let mut site = Site::start(Arc::clone(record), options, &TENANTS).map_err(describe)?;
    for _ in 0..engines {
        site.add_worker("engine", slots).map_err(describe)?;
    }
    for _ in 0..2 {
        site.add_worker("desk", 6).map_err(describe)?;
    }
    for index in 0..site.hosts.len() {
        site.await_ready(index, 20 * SECOND)?;
    }
    thread::sleep(2 * SECOND);
    Ok(site)
}

/// The platform's part of a machine's life: a process that holds more than its machine has is killed,
/// and a process that has ended is started again after a short delay.
struct Machines {
    ends: HashMap<usize, u32>,
    peaks: HashMap<usize, u64>,
    restart: HashMap<usize, Instant>,
}

const RESTART_DELAY: Duration = Duration::from_millis(500);

impl Machines {
    fn new() -> Self {
        Self {
            ends: HashMap::new(),
            peaks: HashMap::new(),
            restart: HashMap::new(),
        }
    }

    fn watch(&mut self, site: &Site) -> Result<(), String> {
        let limit = site.options.memory_mb * 1024 * 1024;
        for index in 0..site.hosts.len() {
            if let Some(at) = self.restart.get(&index) {
                if Instant::now() >= *at {
                    self.restart.remove(&index);
                    site.start_host(index).map_err(|error| error.to_string())?;
                }
                continue;
            }
            let memory = site.memory(index);
            if let Some(memory) = memory {
                let peak = self.peaks.entry(index).or_default();
                *peak = memory.max(*peak);
                if memory <= limit {
                    continue;
                }
                site.record.line(&format!(
                    "host {} holds {} MB of {} MB",
                    site.hosts[index].name,
                    memory / 1024 / 1024,
                    site.options.memory_mb
                ));
                site.signal(index, SIGKILL);
            }
            site.await_end(index);
            *self.ends.entry(index).or_default() += 1;
            self.restart.insert(index, Instant::now() + RESTART_DELAY);
        }
        Ok(())
    }
}

/// Submissions of a legal size that a client sends one after the other.
struct Large {
    submissions: usize,
    items: usize,
    body_bytes: usize,
}

const MANY_ITEMS: Large = Large {
    submissions: 5,
    items: 140_000,
    body_bytes: 6,
};
const LARGE_BODIES: Large = Large {
    submissions: 12,
    items: 16,
    body_bytes: 1_500_000,
};

fn large_submissions(record: &Arc<Record>, trouble: bool, large: &Large) -> Outcome {
    let site = start(record, Options::default(), 4, 16)?;
    let many = large.items;
    let items: Vec<Item> = (0..many)
        .map(|index| Item {
            id: format!("x{index:07x}"),
            path: format!("/b/3/5/{index}"),
            group: format!("g{}", index / 8),
            body: vec![b'p'; large.body_bytes],
        })
        .collect();
    let body = submission(1, 1, 10, &items);
    record.line(&format!(
        "a large submission has {many} items and {} bytes",
        body.len()
    ));
    let small: Vec<Item> = (0..24)
        .map(|index| Item {
            id: format!("s{index}"),
            path: format!("/b/40/100/{index}"),
            group: format!("g{}", index / 8),
            body: b"prompt".to_vec(),
        })
        .collect();
    let accepted = site.call(
        1,
        &request(
            "POST",
            "/b/small",
            "small",
            KEY,
            submission(1, 1, 3, &small),
        ),
        3 * SECOND,
    );
    if accepted.is_none_or(|answer| answer.status != 202) {
        return Err("the small batch isn't accepted".to_owned());
    }
    let fronts: Vec<_> = (0..site.hosts.len())
        .map(|index| site.front(index))
        .collect();
    let own = Arc::clone(record);
    let submissions = if trouble { large.submissions } else { 0 };
    // A client that gets no answer, or another one than 202, sends the same submission to the next host.
    thread::spawn(move || {
        for (number, _) in fronts.iter().cycle().take(submissions).enumerate() {
            let id = format!("large{number}");
            let submit = request("POST", &format!("/b/{id}"), &id, "key-b", body.clone());
            for front in fronts.iter().cycle().skip(number).take(2) {
                let answer = crate::net::send(*front, &submit, 10 * SECOND);
                let answer = answer.map(|answer| answer.status);
                own.line(&format!("client {id} at {front}: {answer:?}"));
                if answer.is_ok_and(|status| status == 202) {
                    break;
                }
                thread::sleep(SECOND);
            }
            thread::sleep(SECOND);
        }
    });
    let mut machines = Machines::new();
    let began = Instant::now();
    while began.elapsed() < 70 * SECOND {
        machines.watch(&site)?;
        thread::sleep(Duration::from_millis(5));
    }
    for index in 0..site.hosts.len() {
        record.line(&format!(
            "host {}: most memory {} MB, ended {} times",
            site.hosts[index].name,
            machines.peaks.get(&index).copied().unwrap_or(0) / 1024 / 1024,
            machines.ends.get(&index).copied().unwrap_or(0)
        ));
    }
    let read = site.call(
        0,
        &request("GET", "/api/lots/small?after=0", "read", KEY, Vec::new()),
        3 * SECOND,
    );
    let listed = read
        .and_then(|answer| page(&answer))
        .map(|(_, _, rows)| rows.len());
    record.line(&format!(
        "results of the small batch's 24 items that can be read: {listed:?}"
    ));
    let often = machines.ends.values().filter(|ends| **ends >= 3).count();
    Ok((often >= 2)
        .then(|| format!("on {often} machines of 3 processes ended three times or more")))
}

/// One step of a trainer, as far as a case has to know it.
struct Step {
    id: String,
    began: Instant,
    /// When the trainer ended it, and whether its time was up.
    ended: Instant,
    late: bool,
}

/// Submits a step, reads its results twice a second at hosts in turn until `wanted` says that there are
/// enough, or the time is up, and ends it.
fn play_step(
    site: &Site,
    id: &str,
    groups: usize,
    items: &[Item],
    mut poll: impl FnMut(),
    wanted: impl Fn(&[String]) -> bool,
) -> Result<Step, String> {
    let budget = 12 * SECOND;
    let began = Instant::now();
    let body = submission(1, 1, groups, items);
    let mut turn = 0;
    loop {
        let submit = request("POST", &format!("/b/{id}"), id, KEY, body.clone());
        let answer = site.call(turn % site.hosts.len(), &submit, 3_500 * SECOND / 1_000);
        turn += 1;
        if answer.is_some_and(|answer| answer.status == 202) {
            break;
        }
        if began.elapsed() > 4 * SECOND {
            return Err(format!("step {id} isn't accepted"));
        }
        thread::sleep(SECOND / 4);
    }
    let mut listed: Vec<String> = Vec::new();
    let late = loop {
        if wanted(&listed) {
            break false;
        }
        if began.elapsed() >= budget {
            break true;
        }
        let mut read = request(
            "GET",
            &format!("/api/lots/{id}?after={}", listed.len()),
            "-",
            KEY,
            Vec::new(),
        );
        read.fields.0.push(("Wait-Ms".to_owned(), "300".to_owned()));
        let answer = site.call(turn % site.hosts.len(), &read, 1_500 * SECOND / 1_000);
        turn += 1;
        if let Some((_, _, rows)) = answer
            .filter(|answer| answer.status == 200)
            .as_ref()
            .and_then(page)
        {
            listed.extend(rows.into_iter().map(|(id, _)| id));
        }
        let pause = Instant::now() + SECOND / 5;
        while Instant::now() < pause {
            poll();
            thread::sleep(Duration::from_millis(10));
        }
    };
    let ended = Instant::now();
    site.record.line(&format!(
        "step {id} ends, {} results read, time is up: {late}",
        listed.len()
    ));
    for _ in 0..4 {
        let end = request("DELETE", &format!("/api/lots/{id}"), "-", KEY, Vec::new());
        let answer = site.call(turn % site.hosts.len(), &end, 2 * SECOND);
        turn += 1;
        if answer.is_some_and(|answer| answer.status == 200) {
            break;
        }
    }
    Ok(Step {
        id: id.to_owned(),
        began,
        ended,
        late,
    })
}

/// Returns the longest time within a span in which a request was at no worker.
fn longest_idle(site: &Site, id: &str, from: Instant, until: Instant) -> Duration {
    let runs = site.runs.lock().unwrap();
    let mut spans: Vec<(Instant, Instant)> = runs
        .iter()
        .filter(|run| run.id == id)
        .map(|run| (run.began, run.ended.unwrap_or(until)))
        .collect();
    spans.sort();
    let (mut longest, mut at) = (Duration::ZERO, from);
    for (began, ended) in spans.into_iter().chain([(until, until)]) {
        let began = began.min(until);
        longest = longest.max(began.saturating_duration_since(at));
        at = at.max(ended);
    }
    longest
}

const CONTACT: Duration = Duration::from_secs(3);

/// An item under which three workers have crashed runs again, and the process that runs it is killed.
fn trial(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = start(record, Options::default(), 18, 16)?;
    let carried = || -> Vec<Item> {
        let item = |index: usize| Item {
            id: format!("carried-{index}"),
            path: if index == 0 {
                "/b/100/50/long".to_owned()
            } else {
                format!("/b/20/50/{index}")
            },
            group: "carried".to_owned(),
            body: b"prompt of the carried group".to_vec(),
        };
        (0..4).map(item).collect()
    };
    let fresh = |step: &str| -> Vec<Item> {
        let item = |index: usize| Item {
            id: format!("{step}-{index}"),
            path: format!("/b/40/50/{step}/{index}"),
            group: format!("{step}-g{}", index / 4),
            body: format!("prompt {step} {}", index / 4).into_bytes(),
        };
        (0..36).map(item).collect()
    };
    let long = "carried-0";
    let running = |site: &Site| {
        let runs = site.runs.lock().unwrap();
        let run = runs
            .iter()
            .rev()
            .find(|run| run.id == long && run.ended.is_none());
        run.map(|run| (run.worker.clone(), run.began))
    };
    // The first step: nine of ten groups are wanted. Workers crash under the long item, one after the other.
    let items = [carried(), fresh("s1")].concat();
    let (mut crashes, mut crashed) = (0, None);
    let crash = || {
        if !trouble || crashes == 3 {
            return;
        }
        if let Some((name, began)) = running(&site)
            && began.elapsed() > SECOND / 4
            && crashed != Some(began)
        {
            crashed = Some(began);
            crashes += 1;
            let worker = site
                .workers
                .iter()
                .find(|worker| worker.shared.options.name == name);
            if let Some(worker) = worker {
                worker.crash(3 * SECOND);
            }
        }
    };
    let all = |step: &'static str| {
        move |listed: &[String]| listed.iter().filter(|id| id.starts_with(step)).count() >= 36
    };
    let first = play_step(&site, "step1", 9, &items, crash, all("s1"))?;
    if trouble && crashes < 3 {
        return Err(format!(
            "only {crashes} workers crashed under the long item"
        ));
    }
    thread::sleep((first.began + 4 * SECOND).saturating_duration_since(Instant::now()));
    // The group that wasn't complete comes again, first. The trainer waits for it.
    let items = [carried(), fresh("s2")].concat();
    let mut killed: Option<(usize, Instant)> = None;
    let mut restarted = false;
    let kill = || {
        if let Some((owner, at)) = killed
            && !restarted
            && at.elapsed() >= SECOND
        {
            restarted = true;
            site.await_end(owner);
            if let Err(error) = site.start_host(owner) {
                site.record
                    .line(&format!("host can't start again: {error}"));
            }
        }
        if !trouble
            || killed.is_some()
            || running(&site).is_none_or(|(_, began)| began.elapsed() < SECOND / 4)
        {
            return;
        }
        let place = site
            .store
            .find_key("step2/")
            .into_iter()
            .find(|(topic, _, _)| topic.contains("batches"));
        let owner = place
            .and_then(|(topic, part, _)| site.owner(&topic.replace("batches", "results"), part));
        if let Some(owner) = owner {
            site.signal(owner, SIGKILL);
            killed = Some((owner, Instant::now()));
        }
    };
    let done = |step: &'static str| {
        move |listed: &[String]| {
            let count = |prefix: &str| listed.iter().filter(|id| id.starts_with(prefix)).count();
            count("carried") >= 4 && count(step) >= 32
        }
    };
    let second = play_step(&site, "step2", 9, &items, kill, done("s2"))?;
    thread::sleep(SECOND);
    let items = [carried(), fresh("s3")].concat();
    let third = play_step(&site, "step3", 9, &items, || {}, done("s3"))?;
    let mut broken = Vec::new();
    for step in [&second, &third] {
        // No time counts before the machines are in touch again after the kill.
        let calm = killed.map_or(step.began, |(_, at)| step.began.max(at + CONTACT));
        let idle = longest_idle(&site, long, calm, step.ended);
        let finished = site
            .runs
            .lock()
            .unwrap()
            .iter()
            .any(|run| run.id == long && run.finished);
        record.line(&format!(
            "{}: time is up {}, the long item was at no worker for {:.1} s, finished by a worker {finished}",
            step.id,
            step.late,
            idle.as_secs_f64()
        ));
        if step.late && !finished && idle >= 5 * SECOND {
            broken.push(format!(
                "{} ran out of time, its item {long} was at no worker for {:.1} s",
                step.id,
                idle.as_secs_f64()
            ));
        }
    }
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

/// A host is frozen, and its partitions go to the other host, which accepts and finishes batches and is
/// stopped as planned. The partitions are then the first host's again.
fn lapse(record: &Arc<Record>, trouble: bool) -> Outcome {
    let options = Options {
        hosts: 2,
        ..Options::default()
    };
    let site = start(record, options, 4, 16)?;
    // The host that keeps its partitions when the other one joins again, by how this store distributes them.
    let frozen = site
        .owner("keyed.godwitspool-results", 0)
        .ok_or("nobody holds the first partition")?;
    let other = 1 - frozen;
    if trouble {
        site.signal(frozen, SIGSTOP);
    }
    let began = Instant::now();
    thread::sleep(SECOND / 2);
    let batches: Vec<String> = (0..BATCHES)
        .map(|number| format!("batch{number}"))
        .collect();
    for batch in &batches {
        let items: Vec<Item> = (0..8)
            .map(|index| Item {
                id: format!("{batch}-{index}"),
                path: format!("/b/4/20/{batch}/{index}"),
                group: format!("g{}", index / 4),
                body: b"prompt".to_vec(),
            })
            .collect();
        let submit = request(
            "POST",
            &format!("/b/{batch}"),
            batch,
            KEY,
            submission(1, 1, 2, &items),
        );
        if site
            .call(other, &submit, 3 * SECOND)
            .is_none_or(|answer| answer.status != 202)
        {
            return Err(format!("{batch} isn't accepted"));
        }
    }
    let read = |host: usize, batch: &str| {
        let read = request(
            "GET",
            &format!("/api/lots/{batch}?after=0"),
            "-",
            KEY,
            Vec::new(),
        );
        let answer = site.call(host, &read, 2 * SECOND)?;
        Some((
            answer.status,
            page(&answer).map_or(0, |(_, _, rows)| rows.len()),
        ))
    };
    for batch in &batches {
        while read(other, batch) != Some((200, 8)) {
            if began.elapsed() > 20 * SECOND {
                return Err(format!("{batch} isn't served"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        let end = request(
            "DELETE",
            &format!("/api/lots/{batch}"),
            "-",
            KEY,
            Vec::new(),
        );
        let _ = site.call(other, &end, 2 * SECOND);
    }
    record.line(&format!(
        "all results were read {:.2} s after the freeze",
        began.elapsed().as_secs_f64()
    ));
    if trouble {
        site.signal(other, SIGTERM);
        thread::sleep((began + FREEZE).saturating_duration_since(Instant::now()));
        site.signal(frozen, SIGCONT);
    }
    let back = Instant::now();
    if trouble {
        // The other process ends within its grace period, and is started again.
        site.await_end(other);
        thread::sleep(SECOND);
        site.start_host(other).map_err(|error| error.to_string())?;
        site.await_ready(other, 10 * SECOND)?;
    }
    // Both machines are in touch again.
    thread::sleep(CONTACT);
    record.line(&format!(
        "{:.1} s after the thaw the results are read again",
        back.elapsed().as_secs_f64()
    ));
    let mut missing = HashMap::new();
    for _ in 0..8 {
        for batch in &batches {
            for host in [frozen, other] {
                if let Some((status, listed)) = read(host, batch)
                    && ((status == 200 && listed < 8) || status == 404 || status == 410)
                {
                    *missing
                        .entry((batch.clone(), host, status, listed))
                        .or_insert(0) += 1;
                }
            }
        }
        thread::sleep(SECOND / 2);
    }
    let mut broken: Vec<String> = missing
        .iter()
        .map(|((batch, host, status, listed), times)| {
            format!("{batch} at {}: {listed} of 8 results that had been read, status {status}, {times} times", site.hosts[*host].name)
        })
        .collect();
    broken.sort();
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

const BATCHES: usize = 12;
/// Time for which a machine stands still.
const FREEZE: Duration = Duration::from_millis(3_900);

/// The hosts are stopped and started one after the other, while the settings name a store that bears more
/// writes.
fn growth(record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut site = start(record, Options::default(), 4, 16)?;
    let batches: Vec<String> = (0..BATCHES)
        .map(|number| format!("batch{number}"))
        .collect();
    for (number, batch) in batches.iter().enumerate() {
        let items: Vec<Item> = (0..8)
            .map(|index| Item {
                id: format!("{batch}-{index}"),
                path: format!("/b/4/20/{batch}/{index}"),
                group: format!("g{}", index / 4),
                body: b"prompt".to_vec(),
            })
            .collect();
        let submit = request(
            "POST",
            &format!("/b/{batch}"),
            batch,
            KEY,
            submission(1, 1, 2, &items),
        );
        let host = number % site.hosts.len();
        if site
            .call(host, &submit, 3 * SECOND)
            .is_none_or(|answer| answer.status != 202)
        {
            return Err(format!("{batch} isn't accepted"));
        }
    }
    let read = |site: &Site, host: usize, batch: &str| {
        let read = request(
            "GET",
            &format!("/api/lots/{batch}?after=0"),
            "-",
            KEY,
            Vec::new(),
        );
        let answer = site.call(host, &read, 2 * SECOND)?;
        Some((
            answer.status,
            page(&answer).map_or(0, |(_, _, rows)| rows.len()),
        ))
    };
    let due = Instant::now() + 10 * SECOND;
    for batch in &batches {
        while read(&site, 0, batch) != Some((200, 8)) {
            if Instant::now() > due {
                return Err(format!("{batch} isn't served"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    if trouble {
        site.options.writes_per_s = 1_200;
        record.line("the settings name 1200 writes per second from now on");
    }
    for index in 0..site.hosts.len() {
        site.signal(index, SIGTERM);
        site.await_end(index);
        site.start_host(index).map_err(|error| error.to_string())?;
        site.await_ready(index, 10 * SECOND)?;
        thread::sleep(CONTACT);
    }
    let mut missing = HashMap::new();
    for _ in 0..3 {
        for batch in &batches {
            for host in 0..site.hosts.len() {
                if let Some((status, listed)) = read(&site, host, batch)
                    && ((status == 200 && listed < 8) || status == 404 || status == 410)
                {
                    *missing
                        .entry((batch.clone(), host, status, listed))
                        .or_insert(0) += 1;
                }
            }
        }
        thread::sleep(SECOND / 2);
    }
    let mut broken: Vec<String> = missing
        .iter()
        .map(|((batch, host, status, listed), times)| {
            let name = &site.hosts[*host].name;
            format!("{batch} at {name}: status {status}, {listed} of 8 results, {times} times")
        })
        .collect();
    broken.sort();
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

/// A client with another tenant's key ends a batch.
fn foreign(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = start(record, Options::default(), 4, 16)?;
    let items: Vec<Item> = (0..16)
        .map(|index| Item {
            id: format!("x{index}"),
            path: format!("/b/40/100/{index}"),
            group: format!("g{}", index / 4),
            body: b"prompt".to_vec(),
        })
        .collect();
    let submit = request(
        "POST",
        "/b/batch",
        "batch",
        KEY,
        submission(1, 1, 4, &items),
    );
    let began = Instant::now();
    if site
        .call(0, &submit, 3 * SECOND)
        .is_none_or(|answer| answer.status != 202)
    {
        return Err("the batch isn't accepted".to_owned());
    }
    thread::sleep(SECOND);
    if trouble {
        let end = request("DELETE", "/api/lots/batch", "-", "key-b", Vec::new());
        let _ = site.call(1, &end, 2 * SECOND);
    }
    let mut listed = 0;
    while listed < 16 && began.elapsed() < 12 * SECOND {
        let read = request("GET", "/api/lots/batch?after=0", "-", KEY, Vec::new());
        let answer = site.call(2, &read, 2 * SECOND);
        listed = answer
            .as_ref()
            .and_then(page)
            .map_or(listed, |(_, _, rows)| rows.len());
        thread::sleep(SECOND / 4);
    }
    let now = Instant::now();
    let runs = site.runs.lock().unwrap().clone();
    let forgotten = items.iter().filter(|item| {
        let begun = runs.iter().any(|run| run.id == item.id);
        let finished = runs.iter().any(|run| run.id == item.id && run.finished);
        begun && !finished && longest_idle(&site, &item.id, began, now) >= 5 * SECOND
    });
    let forgotten = forgotten.count();
    record.line(&format!(
        "results read: {listed}, items at no worker for 5 s: {forgotten}"
    ));
    Ok((listed < 16 && forgotten > 0).then(|| {
        format!(
            "the step ran out of time, {forgotten} of its items were at no worker for 5 s or more"
        )
    }))
}
