//! Plots of service-level burn as SVG.

use std::error::Error;

use heatherrun_schema::v1;
use plotters::coord::Shift;
use plotters::coord::ranged1d::ValueFormatter;
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

use crate::alert::RULES;
use crate::history::Counts;
use crate::objective::Objective;
use crate::units;
use crate::window::{BUDGET_SECS, WINDOWS, burn_rate};

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), Box<dyn Error>>;

/// Width of a plot, in pixels.
const WIDTH: u32 = 560;

/// Height of a chart, in pixels.
const HEIGHT: u32 = 260;

/// Height of one bar with its label, in pixels.
const BAR: u32 = 40;

/// Causes drawn.
const MOST_CAUSES: usize = 6;

/// Lowest burn rate drawn.
const LEAST_RATE: f64 = 0.01;

/// Shortest time drawn, in seconds.
const LEAST_SPAN: u64 = 1_800;

/// Time below which minutes are shown, in seconds.
const SHORT_SPAN: u64 = 10_800;

/// Longest time drawn, in seconds.
const DAY: u64 = 86_400;

const FONT: &str = "sans-serif";
const INK: RGBColor = RGBColor(38, 45, 56);
const MUTED: RGBColor = RGBColor(96, 106, 120);
const GRID: RGBColor = RGBColor(224, 228, 234);
const TRACK: RGBColor = RGBColor(233, 236, 241);
const ALARM: RGBColor = RGBColor(186, 32, 38);

/// Colour of an objective, the same in every plot.
pub(crate) fn colour(objective: &str) -> RGBColor {
    match Objective::ALL.iter().position(|o| o.name() == objective) {
        Some(0) => RGBColor(31, 91, 163),
        Some(1) => RGBColor(190, 96, 8),
        Some(2) => RGBColor(16, 124, 104),
        _ => INK,
    }
}

/// The same colour for a style sheet.
pub(crate) fn colour_code(objective: &str) -> String {
    let RGBColor(r, g, b) = colour(objective);
    format!("#{r:02x}{g:02x}{b:02x}")
}

/// Draws on a white area; a plot that cannot be drawn becomes a line of text.
fn svg(height: u32, draw: impl FnOnce(&Area<'_>) -> Drawn) -> String {
    let mut text = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)
            .map_err(Box::from)
            .and_then(|()| draw(&area))
            .and_then(|()| area.present().map_err(Box::from))
    };
    match drawn {
        Ok(()) => text,
        Err(e) => format!("<p>the plot cannot be drawn: {e}</p>"),
    }
}

fn style(size: u32, colour: RGBColor, pos: HPos) -> TextStyle<'static> {
    (FONT, size)
        .into_font()
        .color(&colour)
        .pos(Pos::new(pos, VPos::Center))
}

/// Budget left of each objective, as bars.
pub(crate) fn budgets(burn: &v1::ServiceBurn) -> String {
    let of_budget = |w: &&v1::BurnWindow| w.window_secs == BUDGET_SECS;
    let windows: Vec<_> = burn.windows.iter().filter(of_budget).collect();
    let height = BAR * length(windows.len()).max(1) + 10;
    svg(height, |area| {
        for (ix, window) in windows.iter().enumerate() {
            let y = position(BAR) * position_of(ix) + 8;
            budget(area, window, y)?;
        }
        Ok(())
    })
}

fn budget(area: &Area<'_>, window: &v1::BurnWindow, y: i32) -> Drawn {
    let name = format!("{} {}", window.objective, units::ppm(window.target_ppm));
    area.draw_text(&name, &style(14, INK, HPos::Left), (8, y + 6))?;
    let left = if window.total == 0 {
        "no event".to_owned()
    } else if window.budget_left < 0.0 {
        format!("overspent: {:.0}% used", window.burn_rate * 100.0)
    } else {
        format!("{} left", units::share(window.budget_left))
    };
    let alarm = window.budget_left < 0.0;
    let ink = if alarm { ALARM } else { INK };
    let right = position(WIDTH) - 8;
    area.draw_text(&left, &style(14, ink, HPos::Right), (right, y + 6))?;
    bar(area, y + 17, window.budget_left, colour(&window.objective))?;
    if alarm {
        bar(area, y + 17, 1.0, ALARM)?;
    }
    Ok(())
}

/// Bar that fills `part` of the width.
fn bar(area: &Area<'_>, y: i32, part: f64, colour: RGBColor) -> Drawn {
    let (from, to) = (8, position(WIDTH) - 8);
    let end = from + scaled(part.clamp(0.0, 1.0) * f64::from(to - from));
    area.draw(&Rectangle::new([(from, y), (to, y + 10)], TRACK.filled()))?;
    area.draw(&Rectangle::new([(from, y), (end, y + 10)], colour.filled()))?;
    Ok(())
}

/// Burn rate of each objective over each window, with the rates that alert.
pub(crate) fn rates(burn: &v1::ServiceBurn) -> String {
    svg(HEIGHT, |area| draw_rates(area, burn))
}

fn draw_rates(area: &Area<'_>, burn: &v1::ServiceBurn) -> Drawn {
    let most = burn
        .windows
        .iter()
        .map(|w| w.burn_rate)
        .fold(20.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .margin_right(16)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(-0.4..6.4, (LEAST_RATE..most * 1.5).log_scale())?;
    let name = |x: &f64| {
        let whole = (x - x.round()).abs() < 0.01;
        let ix = scaled(x.round());
        let secs = usize::try_from(ix).ok().and_then(|ix| WINDOWS.get(ix));
        secs.filter(|_| whole)
            .map_or(String::new(), |s| units::secs(*s))
    };
    let labels = Labels {
        ticks: WINDOWS.len() + 1,
        x: &name,
        x_desc: "window; no burn is drawn at the bottom",
        y_desc: "burn rate",
    };
    mesh(&mut chart, &labels)?;
    chart.draw_series(LineSeries::new([(-0.4, 1.0), (6.4, 1.0)], MUTED))?;
    for rule in RULES {
        let at = |secs: u64| WINDOWS.iter().position(|w| *w == secs).map(as_f64);
        if let (Some(from), Some(to)) = (at(rule.short), at(rule.long)) {
            let ends = [(from, rule.rate), (to, rule.rate)];
            chart.draw_series(LineSeries::new(ends, ALARM.mix(0.55).stroke_width(2)))?;
        }
    }
    for objective in Objective::ALL {
        let mut points = Vec::new();
        for window in &burn.windows {
            let place = WINDOWS.iter().position(|w| *w == window.window_secs);
            let (Some(ix), true) = (place, window.objective == objective.name()) else {
                continue;
            };
            if window.total == 0 {
                continue;
            }
            let whole = window.covered_secs >= window.window_secs;
            points.push((as_f64(ix), window.burn_rate.max(LEAST_RATE), whole));
        }
        let colour = colour(objective.name());
        let line = points.iter().map(|(x, y, _)| (*x, *y));
        chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
        for (x, y, whole) in points {
            let fill = if whole { colour } else { WHITE };
            chart.draw_series([
                Circle::new((x, y), 5, colour.filled()),
                Circle::new((x, y), 3, fill.filled()),
            ])?;
        }
    }
    Ok(())
}

/// Labels of a chart.
struct Labels<'a> {
    ticks: usize,
    x: &'a dyn Fn(&f64) -> String,
    x_desc: &'a str,
    y_desc: &'a str,
}

/// Draws the axes and the lines across.
fn mesh<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
    labels: &Labels<'_>,
) -> Drawn
where
    X: Ranged<ValueType = f64> + ValueFormatter<f64>,
    Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    chart
        .configure_mesh()
        .disable_x_mesh()
        .bold_line_style(GRID)
        .light_line_style(TRANSPARENT)
        .axis_style(MUTED)
        .x_labels(labels.ticks)
        .y_labels(6)
        .x_label_formatter(labels.x)
        .y_label_formatter(&|y| units::rate(*y))
        .x_desc(labels.x_desc)
        .y_desc(labels.y_desc)
        .label_style((FONT, 13).into_font().color(&INK))
        .axis_desc_style((FONT, 13).into_font().color(&MUTED))
        .draw()?;
    Ok(())
}

/// Burn rate over the last day.
pub(crate) fn over_time(burn: &v1::ServiceBurn) -> String {
    svg(HEIGHT, |area| draw_over_time(area, burn))
}

fn draw_over_time(area: &Area<'_>, burn: &v1::ServiceBurn) -> Drawn {
    let (unit, name, length) = span(burn);
    let lines: Vec<_> = burn
        .series
        .iter()
        .map(|s| (s, points(s, burn, unit)))
        .collect();
    let all = lines.iter().flat_map(|(_, points)| points);
    let most = all.filter_map(|(_, y)| *y).fold(2.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .margin_right(16)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(-length..0.0, 0.0..most * 1.1)?;
    let ago = |x: &f64| match scaled(-x.round()) {
        0 => "now".to_owned(),
        units => format!("{units}{name} ago"),
    };
    let labels = Labels {
        ticks: 7,
        x: &ago,
        x_desc: "time",
        y_desc: "burn rate in 5 minutes",
    };
    mesh(&mut chart, &labels)?;
    chart.draw_series(LineSeries::new([(-length, 1.0), (0.0, 1.0)], MUTED))?;
    for (series, points) in lines {
        let colour = colour(&series.objective).stroke_width(2);
        for run in points.split(|(_, y)| y.is_none()) {
            let line = run.iter().filter_map(|(x, y)| y.map(|y| (*x, y)));
            let inside = line.filter(|(x, _)| *x >= -length);
            chart.draw_series(LineSeries::new(inside, colour))?;
        }
    }
    Ok(())
}

/// Unit of time in seconds, its name, and the length of the part of the last
/// day that is covered, in that unit.
fn span(burn: &v1::ServiceBurn) -> (f64, &'static str, f64) {
    let covered = burn.windows.iter().map(|w| w.covered_secs).max();
    let covered = covered.unwrap_or(0).clamp(LEAST_SPAN, DAY);
    let (unit, name) = if covered < SHORT_SPAN {
        (60, "m")
    } else {
        (3_600, "h")
    };
    (as_secs(unit), name, as_secs(covered) / as_secs(unit))
}

/// Burn rate by time from now in units of so many seconds; none where
/// nothing was counted.
fn points(series: &v1::BurnSeries, burn: &v1::ServiceBurn, unit: f64) -> Vec<(f64, Option<f64>)> {
    let same = |w: &&v1::BurnWindow| w.objective == series.objective;
    let target = burn.windows.iter().find(same).map_or(0, |w| w.target_ppm);
    let spans = series.good.len().min(series.total.len());
    let step = as_secs(series.bucket_secs) / unit;
    let mut made = Vec::with_capacity(spans);
    for (ix, (good, total)) in series.good.iter().zip(&series.total).enumerate() {
        let counts = Counts {
            good: *good,
            total: *total,
        };
        let x = -as_f64(spans - 1 - ix) * step;
        made.push((x, (*total > 0).then(|| burn_rate(counts, target))));
    }
    made
}

/// What burned the most, as bars.
pub(crate) fn causes(burn: &v1::ServiceBurn) -> String {
    let shown = &burn.causes[..burn.causes.len().min(MOST_CAUSES)];
    let most = shown.iter().map(|c| c.count).max().unwrap_or(1);
    svg(BAR * length(shown.len()).max(1) + 10, |area| {
        for (ix, cause) in shown.iter().enumerate() {
            let y = position(BAR) * position_of(ix) + 8;
            let label = [&cause.cause, &cause.target, &cause.domain].map(String::as_str);
            let label = label.into_iter().filter(|part| !part.is_empty());
            let label = label.collect::<Vec<_>>().join("  ·  ");
            area.draw_text(&label, &style(14, INK, HPos::Left), (8, y + 6))?;
            let count = format!("{} {}", cause.count, cause.objective);
            let right = position(WIDTH) - 8;
            area.draw_text(&count, &style(14, INK, HPos::Right), (right, y + 6))?;
            let part = crate::window::ratio(cause.count, most);
            bar(area, y + 17, part, colour(&cause.objective))?;
        }
        if shown.is_empty() {
            let none = "nothing burned the budget";
            area.draw_text(none, &style(14, MUTED, HPos::Left), (8, 20))?;
        }
        Ok(())
    })
}

fn position(pixels: u32) -> i32 {
    i32::try_from(pixels).unwrap_or(i32::MAX)
}

fn position_of(ix: usize) -> i32 {
    i32::try_from(ix).unwrap_or(i32::MAX)
}

fn length(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}

#[allow(clippy::cast_precision_loss)]
const fn as_secs(secs: u64) -> f64 {
    secs as f64
}

#[allow(clippy::cast_precision_loss)]
const fn as_f64(count: usize) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation)]
fn scaled(pixels: f64) -> i32 {
    pixels.round() as i32
}
