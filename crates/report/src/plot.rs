//! Draws plots of service-level burn as SVG.

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
type DrawResult = Result<(), Box<dyn Error>>;

/// Width of a plot, in pixels.
const PLOT_WIDTH: u32 = 560;

/// Height of a chart, in pixels.
const CHART_HEIGHT: u32 = 260;

/// Height of one bar including its label, in pixels.
const BAR_HEIGHT: u32 = 40;

/// Maximum number of causes drawn.
const MAX_CAUSES_DRAWN: usize = 6;

/// Lowest burn rate on the logarithmic axis; lower rates are drawn there.
const MIN_RATE: f64 = 0.01;

/// Shortest time span on the time axis, in seconds.
const MIN_TIME_SPAN_SECS: u64 = 1_800;

/// Time span in seconds below which the time axis is in minutes, not hours.
const MINUTE_AXIS_MAX_SECS: u64 = 10_800;

/// Longest time span on the time axis, in seconds (one day).
const MAX_TIME_SPAN_SECS: u64 = 86_400;

/// Font family of all text in the plots.
const FONT: &str = "sans-serif";
const TEXT_COLOUR: RGBColor = RGBColor(38, 45, 56);
const MUTED_COLOUR: RGBColor = RGBColor(96, 106, 120);
const GRID_COLOUR: RGBColor = RGBColor(224, 228, 234);
const BAR_BACKGROUND: RGBColor = RGBColor(233, 236, 241);
const ALERT_COLOUR: RGBColor = RGBColor(186, 32, 38);

/// Colour of an objective in all plots.
pub(crate) fn colour(objective: &str) -> RGBColor {
    match Objective::ALL.iter().position(|o| o.name() == objective) {
        Some(0) => RGBColor(31, 91, 163),
        Some(1) => RGBColor(190, 96, 8),
        Some(2) => RGBColor(16, 124, 104),
        _ => TEXT_COLOUR,
    }
}

/// Colour of an objective as a CSS colour code.
pub(crate) fn colour_code(objective: &str) -> String {
    let RGBColor(r, g, b) = colour(objective);
    format!("#{r:02x}{g:02x}{b:02x}")
}

/// Runs `draw` on a white area and returns the SVG; if drawing fails, returns a
/// paragraph with the error instead.
fn render_svg(height: u32, draw: impl FnOnce(&Area<'_>) -> DrawResult) -> String {
    let mut text = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut text, (PLOT_WIDTH, height)).into_drawing_area();
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

fn text_style(size: u32, colour: RGBColor, pos: HPos) -> TextStyle<'static> {
    (FONT, size)
        .into_font()
        .color(&colour)
        .pos(Pos::new(pos, VPos::Center))
}

/// Bars of the error budget left for each objective.
pub(crate) fn budgets(burn: &v1::ServiceBurn) -> String {
    let is_budget_window = |w: &&v1::BurnWindow| w.window_secs == BUDGET_SECS;
    let windows: Vec<_> = burn.windows.iter().filter(is_budget_window).collect();
    let height = BAR_HEIGHT * count_u32(windows.len()).max(1) + 10;
    render_svg(height, |area| {
        for (ix, window) in windows.iter().enumerate() {
            let y = pixels_i32(BAR_HEIGHT) * index_i32(ix) + 8;
            draw_budget(area, window, y)?;
        }
        Ok(())
    })
}

fn draw_budget(area: &Area<'_>, window: &v1::BurnWindow, y: i32) -> DrawResult {
    let name = format!("{} {}", window.objective, units::ppm(window.target_ppm));
    area.draw_text(&name, &text_style(14, TEXT_COLOUR, HPos::Left), (8, y + 6))?;
    let status = if window.total == 0 {
        "no event".to_owned()
    } else if window.budget_left < 0.0 {
        format!("overspent: {:.0}% used", window.burn_rate * 100.0)
    } else {
        format!("{} left", units::share(window.budget_left))
    };
    let overspent = window.budget_left < 0.0;
    let text_colour = if overspent { ALERT_COLOUR } else { TEXT_COLOUR };
    let right = pixels_i32(PLOT_WIDTH) - 8;
    area.draw_text(
        &status,
        &text_style(14, text_colour, HPos::Right),
        (right, y + 6),
    )?;
    draw_bar(area, y + 17, window.budget_left, colour(&window.objective))?;
    if overspent {
        draw_bar(area, y + 17, 1.0, ALERT_COLOUR)?;
    }
    Ok(())
}

/// Draws a bar that fills the fraction `part` of the width.
fn draw_bar(area: &Area<'_>, y: i32, part: f64, colour: RGBColor) -> DrawResult {
    let (from, to) = (8, pixels_i32(PLOT_WIDTH) - 8);
    let end = from + round_i32(part.clamp(0.0, 1.0) * f64::from(to - from));
    area.draw(&Rectangle::new(
        [(from, y), (to, y + 10)],
        BAR_BACKGROUND.filled(),
    ))?;
    area.draw(&Rectangle::new([(from, y), (end, y + 10)], colour.filled()))?;
    Ok(())
}

/// Chart of the burn rate of each objective over each window, with the rates
/// at which the alert rules fire.
pub(crate) fn rates(burn: &v1::ServiceBurn) -> String {
    render_svg(CHART_HEIGHT, |area| draw_rates(area, burn))
}

fn draw_rates(area: &Area<'_>, burn: &v1::ServiceBurn) -> DrawResult {
    let max_rate = burn
        .windows
        .iter()
        .map(|w| w.burn_rate)
        .fold(20.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .margin_right(16)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(-0.4..6.4, (MIN_RATE..max_rate * 1.5).log_scale())?;
    let window_name = |x: &f64| {
        let is_integer = (x - x.round()).abs() < 0.01;
        let ix = round_i32(x.round());
        let secs = usize::try_from(ix).ok().and_then(|ix| WINDOWS.get(ix));
        secs.filter(|_| is_integer)
            .map_or(String::new(), |s| units::secs(*s))
    };
    let labels = Labels {
        x_ticks: WINDOWS.len() + 1,
        x_label: &window_name,
        x_desc: "window; no burn is drawn at the bottom",
        y_desc: "burn rate",
    };
    draw_axes(&mut chart, &labels)?;
    chart.draw_series(LineSeries::new([(-0.4, 1.0), (6.4, 1.0)], MUTED_COLOUR))?;
    for rule in RULES {
        let window_x = |secs: u64| WINDOWS.iter().position(|w| *w == secs).map(count_f64);
        if let (Some(from), Some(to)) = (window_x(rule.short), window_x(rule.long)) {
            let ends = [(from, rule.min_rate), (to, rule.min_rate)];
            chart.draw_series(LineSeries::new(
                ends,
                ALERT_COLOUR.mix(0.55).stroke_width(2),
            ))?;
        }
    }
    for objective in Objective::ALL {
        let mut points = Vec::new();
        for window in &burn.windows {
            let window_ix = WINDOWS.iter().position(|w| *w == window.window_secs);
            let (Some(ix), true) = (window_ix, window.objective == objective.name()) else {
                continue;
            };
            if window.total == 0 {
                continue;
            }
            let fully_covered = window.covered_secs >= window.window_secs;
            points.push((count_f64(ix), window.burn_rate.max(MIN_RATE), fully_covered));
        }
        let colour = colour(objective.name());
        let line = points.iter().map(|(x, y, _)| (*x, *y));
        chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
        for (x, y, fully_covered) in points {
            let fill = if fully_covered { colour } else { WHITE };
            chart.draw_series([
                Circle::new((x, y), 5, colour.filled()),
                Circle::new((x, y), 3, fill.filled()),
            ])?;
        }
    }
    Ok(())
}

/// Axis labels of a chart.
struct Labels<'a> {
    x_ticks: usize,
    x_label: &'a dyn Fn(&f64) -> String,
    x_desc: &'a str,
    y_desc: &'a str,
}

/// Draws the axes and the horizontal grid lines.
fn draw_axes<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
    labels: &Labels<'_>,
) -> DrawResult
where
    X: Ranged<ValueType = f64> + ValueFormatter<f64>,
    Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    chart
        .configure_mesh()
        .disable_x_mesh()
        .bold_line_style(GRID_COLOUR)
        .light_line_style(TRANSPARENT)
        .axis_style(MUTED_COLOUR)
        .x_labels(labels.x_ticks)
        .y_labels(6)
        .x_label_formatter(labels.x_label)
        .y_label_formatter(&|y| units::rate(*y))
        .x_desc(labels.x_desc)
        .y_desc(labels.y_desc)
        .label_style((FONT, 13).into_font().color(&TEXT_COLOUR))
        .axis_desc_style((FONT, 13).into_font().color(&MUTED_COLOUR))
        .draw()?;
    Ok(())
}

/// Chart of the burn rate over the last day.
pub(crate) fn over_time(burn: &v1::ServiceBurn) -> String {
    render_svg(CHART_HEIGHT, |area| draw_over_time(area, burn))
}

fn draw_over_time(area: &Area<'_>, burn: &v1::ServiceBurn) -> DrawResult {
    let (unit_secs, unit_name, axis_length) = time_axis(burn);
    let lines: Vec<_> = burn
        .series
        .iter()
        .map(|s| (s, rate_points(s, burn, unit_secs)))
        .collect();
    let all = lines.iter().flat_map(|(_, points)| points);
    let max_rate = all.filter_map(|(_, y)| *y).fold(2.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .margin_right(16)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(-axis_length..0.0, 0.0..max_rate * 1.1)?;
    let ago_label = |x: &f64| match round_i32(-x.round()) {
        0 => "now".to_owned(),
        units => format!("{units}{unit_name} ago"),
    };
    let labels = Labels {
        x_ticks: 7,
        x_label: &ago_label,
        x_desc: "time",
        y_desc: "burn rate in 5 minutes",
    };
    draw_axes(&mut chart, &labels)?;
    chart.draw_series(LineSeries::new(
        [(-axis_length, 1.0), (0.0, 1.0)],
        MUTED_COLOUR,
    ))?;
    for (series, points) in lines {
        let colour = colour(&series.objective).stroke_width(2);
        for run in points.split(|(_, y)| y.is_none()) {
            let line = run.iter().filter_map(|(x, y)| y.map(|y| (*x, y)));
            let inside = line.filter(|(x, _)| *x >= -axis_length);
            chart.draw_series(LineSeries::new(inside, colour))?;
        }
    }
    Ok(())
}

/// Time axis: its unit in seconds, the unit's name, and the length of the axis
/// in that unit, which is the part of the last day that has data.
fn time_axis(burn: &v1::ServiceBurn) -> (f64, &'static str, f64) {
    let covered = burn.windows.iter().map(|w| w.covered_secs).max();
    let covered = covered
        .unwrap_or(0)
        .clamp(MIN_TIME_SPAN_SECS, MAX_TIME_SPAN_SECS);
    let (unit_secs, name) = if covered < MINUTE_AXIS_MAX_SECS {
        (60, "m")
    } else {
        (3_600, "h")
    };
    (
        secs_f64(unit_secs),
        name,
        secs_f64(covered) / secs_f64(unit_secs),
    )
}

/// Time, relative to now in units of `unit_secs`, and burn rate of each span;
/// the rate is none where nothing was counted.
fn rate_points(
    series: &v1::BurnSeries,
    burn: &v1::ServiceBurn,
    unit_secs: f64,
) -> Vec<(f64, Option<f64>)> {
    let same = |w: &&v1::BurnWindow| w.objective == series.objective;
    let target_ppm = burn.windows.iter().find(same).map_or(0, |w| w.target_ppm);
    let spans = series.good.len().min(series.total.len());
    let step = secs_f64(series.bucket_secs) / unit_secs;
    let mut points = Vec::with_capacity(spans);
    for (ix, (good, total)) in series.good.iter().zip(&series.total).enumerate() {
        let counts = Counts {
            good: *good,
            total: *total,
        };
        let x = -count_f64(spans - 1 - ix) * step;
        points.push((x, (*total > 0).then(|| burn_rate(counts, target_ppm))));
    }
    points
}

/// Bars of the causes with the most bad events.
pub(crate) fn causes(burn: &v1::ServiceBurn) -> String {
    let shown = &burn.causes[..burn.causes.len().min(MAX_CAUSES_DRAWN)];
    let max_count = shown.iter().map(|c| c.count).max().unwrap_or(1);
    render_svg(BAR_HEIGHT * count_u32(shown.len()).max(1) + 10, |area| {
        for (ix, cause) in shown.iter().enumerate() {
            let y = pixels_i32(BAR_HEIGHT) * index_i32(ix) + 8;
            let label = [&cause.cause, &cause.target, &cause.domain].map(String::as_str);
            let label = label.into_iter().filter(|part| !part.is_empty());
            let label = label.collect::<Vec<_>>().join("  ·  ");
            area.draw_text(&label, &text_style(14, TEXT_COLOUR, HPos::Left), (8, y + 6))?;
            let count = format!("{} {}", cause.count, cause.objective);
            let right = pixels_i32(PLOT_WIDTH) - 8;
            area.draw_text(
                &count,
                &text_style(14, TEXT_COLOUR, HPos::Right),
                (right, y + 6),
            )?;
            let part = crate::window::ratio(cause.count, max_count);
            draw_bar(area, y + 17, part, colour(&cause.objective))?;
        }
        if shown.is_empty() {
            let message = "nothing burned the budget";
            area.draw_text(message, &text_style(14, MUTED_COLOUR, HPos::Left), (8, 20))?;
        }
        Ok(())
    })
}

fn pixels_i32(pixels: u32) -> i32 {
    i32::try_from(pixels).unwrap_or(i32::MAX)
}

fn index_i32(ix: usize) -> i32 {
    i32::try_from(ix).unwrap_or(i32::MAX)
}

fn count_u32(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}

#[allow(clippy::cast_precision_loss)]
const fn secs_f64(secs: u64) -> f64 {
    secs as f64
}

#[allow(clippy::cast_precision_loss)]
const fn count_f64(count: usize) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation)]
fn round_i32(pixels: f64) -> i32 {
    pixels.round() as i32
}
