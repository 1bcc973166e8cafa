//! Runs one cell and prints what it saw: `one_cell STEP FAULT`.

use heatherrun_matrix::cell::cells;
use heatherrun_matrix::run::{Kind, run};

fn main() {
    let names: Vec<String> = std::env::args().skip(1).collect();
    let [step, fault] = names.as_slice() else {
        println!("usage: one_cell STEP FAULT, named as in cases/");
        return;
    };
    for cell in cells() {
        if cell.step.name() == step && cell.fault.name() == fault {
            for kind in [Kind::Search, Kind::Once] {
                println!("{kind:?}: {:#?}", run(cell, kind));
            }
        }
    }
}
