//! The burn report as a self-contained HTML page with plots.

use {
    super::{
        objective::{BurnObjectives, BurnWindow, ServiceObjective},
        rate::{BurnState, burn_series},
        report::{BurnReport, format_rate, state_label},
        sample::BurnSample,
    },
    catkindeck::{ErrorKind, ServiceError},
    plotters::prelude::{
        BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend,
        WHITE,
    },
    std::fmt::Display,
};

/// The size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 240);

/// The maximum number of points of a line; a plot cannot show more.
const MAX_POINTS: usize = 240;

const SHORT_COLOR: RGBColor = RGBColor(200, 80, 30);
const LONG_COLOR: RGBColor = RGBColor(30, 90, 160);

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:60em;margin:2em auto;\
padding:0 1em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;\
border-bottom:1px solid #ddd}.burning{background:#fbd5cc}.none{color:#777}svg{max-width:100%;\
height:auto}";

/// Renders the page.
///
/// # Errors
///
/// Returns `internal` if a plot cannot be drawn.
pub fn render_page(
    objectives: &BurnObjectives,
    report: &BurnReport,
    samples: &[BurnSample],
) -> Result<String, ServiceError> {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\"><title>Burn report</title>\
         <style>{STYLE}</style></head><body>\n<h1>Burn report</h1>\n<p>{}</p>\n",
        format_utc(report.at_ms)
    );
    page.push_str(&burn_table(report));
    if !report.unreachable.is_empty() {
        page.push_str("<h2>Sources that could not be scraped</h2>\n<ul>\n");
        for source in &report.unreachable {
            page.push_str(&format!("<li>{}</li>\n", escape_html(source)));
        }
        page.push_str("</ul>\n");
    }
    let times = plot_times(samples);
    for objective in &objectives.objectives {
        page.push_str(&format!("<h2>{}</h2>\n", escape_html(&objective.name)));
        for windows in &objectives.windows {
            page.push_str(&plot(objective, windows, samples, &times, report.at_ms)?);
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn burn_table(report: &BurnReport) -> String {
    let mut burn_table = String::from(
        "<table>\n<tr><th>objective</th><th>windows</th><th>state</th><th>limit</th>\
         <th>short</th><th>long</th><th>bad / total</th></tr>\n",
    );
    for burn in &report.burns {
        let class = match burn.state {
            BurnState::Burning => "burning",
            BurnState::NoData => "none",
            BurnState::Fine => "fine",
        };
        burn_table.push_str(&format!(
            "<tr class=\"{class}\"><td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{}</td>\
             <td>{}</td><td>{} / {}</td></tr>\n",
            escape_html(&burn.objective),
            escape_html(&burn.windows),
            state_label(burn.state),
            burn.burn_limit,
            format_rate(&burn.short),
            format_rate(&burn.long),
            burn.long.bad,
            burn.long.total
        ));
    }
    burn_table.push_str("</table>\n");
    burn_table
}

/// Returns the distinct sample times, evenly thinned to the point limit; the last one is always kept.
fn plot_times(samples: &[BurnSample]) -> Vec<u64> {
    let mut times: Vec<u64> = samples.iter().map(|sample| sample.at_ms).collect();
    times.dedup();
    let step = times.len().div_ceil(MAX_POINTS).max(1);
    let mut thinned: Vec<u64> = times.iter().rev().step_by(step).copied().collect();
    thinned.reverse();
    thinned
}

fn plot(
    objective: &ServiceObjective,
    windows: &BurnWindow,
    samples: &[BurnSample],
    times: &[u64],
    now_ms: u64,
) -> Result<String, ServiceError> {
    let lines = [
        ("short window", windows.short_ms, SHORT_COLOR),
        ("long window", windows.long_ms, LONG_COLOR),
    ];
    let minutes = |time: u64| -(now_ms.saturating_sub(time) as f64) / 60_000.0;
    let lines = lines.map(|(label, window_ms, color)| {
        let series = burn_series(objective, samples, window_ms, times);
        let points = series.into_iter().map(|(time, rate)| (minutes(time), rate));
        (label, points.collect::<Vec<(f64, f64)>>(), color)
    });
    if lines.iter().all(|(_, points, _)| points.is_empty()) {
        return Ok(format!(
            "<p class=\"none\">{}: no data</p>\n",
            escape_html(&windows.name)
        ));
    }
    let first = times.first().map_or(-1.0, |time| minutes(*time)).min(-1.0);
    let rates = lines
        .iter()
        .flat_map(|(_, points, _)| points.iter().map(|(_, rate)| *rate));
    let top = rates.fold(windows.burn_limit, f64::max) * 1.1;
    let mut svg = String::new();
    draw_chart(&mut svg, (first, top), windows, &lines).map_err(|error| plot_error(&error))?;
    Ok(format!("<figure>{svg}</figure>\n"))
}

type PlotLine = (&'static str, Vec<(f64, f64)>, RGBColor);

fn draw_chart(
    svg: &mut String,
    (first, top): (f64, f64),
    windows: &BurnWindow,
    lines: &[PlotLine],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!("burn rate, windows `{}`", windows.name);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(first..0.0, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("minutes")
        .light_line_style(WHITE)
        .draw()?;
    let limit = [(first, windows.burn_limit), (0.0, windows.burn_limit)];
    chart
        .draw_series(LineSeries::new(limit, BLACK.mix(0.5)))?
        .label("limit")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK.mix(0.5)));
    for (label, points, color) in lines {
        let color = *color;
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(*label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

fn plot_error(error: &dyn Display) -> ServiceError {
    ServiceError::not_run(ErrorKind::Internal, format!("cannot draw a plot: {error}"))
}

fn escape_html(text: &str) -> String {
    let mut escaped = String::new();
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}

/// Formats a time as UTC, converting days since the epoch to a civil date by the usual algorithm.
fn format_utc(at_ms: u64) -> String {
    let seconds = at_ms / 1000;
    let days = seconds / 86_400 + 719_468;
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let (hour, minute) = (seconds % 86_400 / 3600, seconds % 3600 / 60);
    format!("{year}-{month:02}-{day:02} {hour:02}:{minute:02} UTC")
}
