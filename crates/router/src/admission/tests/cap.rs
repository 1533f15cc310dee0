use super::fleet::Fleet;

#[test]
fn trial() {
    for (per_s, hold, skew) in [
        (60.0, 1000.0, 1.0),
        (60.0, 1000.0, 3.0),
        (100.0, 300.0, 3.0),
        (400.0, 200.0, 3.0),
        (150.0, 1000.0, 2.0),
        (20.0, 500.0, 3.0),
    ] {
        for seed in 0..30 {
            let mut fleet = Fleet::new(seed);
            fleet.run(20_000, per_s, hold, skew);
            println!("{per_s} {hold} {skew}: {} of {}", fleet.over_cap, fleet.grants);
        }
    }
    for seed in 0..60 {
        let mut fleet = Fleet::new(seed);
        for k in 0..30 {
            fleet.run(1_000, 150.0, 500.0, 3.0);
            fleet.run(1_000, 30.0, 500.0, 3.0);
        }
        println!("wave: {} of {}", fleet.over_cap, fleet.grants);
    }
}
