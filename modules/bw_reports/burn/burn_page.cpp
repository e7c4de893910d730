#include "bw_reports/burn/burn_page.h"

#include <fmt/format.h>

#include <algorithm>

using namespace bw;

namespace {

constexpr int Width = 720;
constexpr int Height = 160;
constexpr int Margin = 44;
constexpr double BottomMargin = 22;
constexpr std::size_t Steps = 60;

std::string escape(const std::string &Text) {
  std::string Result;
  for (const char Character : Text) {
    switch (Character) {
    case '<':
      Result += "&lt;";
      break;
    case '&':
      Result += "&amp;";
      break;
    case '"':
      Result += "&quot;";
      break;
    default:
      Result += Character;
    }
  }
  return Result;
}

struct step_share {
  double Good = 0;
  double Bad = 0;
  double share() const { return Good + Bad == 0 ? 0 : Bad / (Good + Bad); }
};

std::string plot(const std::vector<outcome_point> &Points, double Objective) {
  const double Start = Points.front().Time;
  const double Length = std::max(1e-3, Points.back().Time - Start);
  std::vector<step_share> Shares(Steps);
  for (const outcome_point &Each : Points) {
    const auto Step =
        std::min(Steps - 1, static_cast<std::size_t>((Each.Time - Start) /
                                                     Length * Steps));
    Shares[Step].Good += Each.Good;
    Shares[Step].Bad += Each.Bad;
  }
  double Top = 2 * (1 - Objective);
  for (const step_share &Each : Shares)
    Top = std::max(Top, Each.share());
  const auto X = [&](double Step) {
    return Margin + Step / Steps * (Width - 2 * Margin);
  };
  const auto Y = [&](double Share) {
    return Height - BottomMargin - Share / Top * (Height - Margin);
  };
  std::string Bars;
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    const double Share = Shares[Step].share();
    Bars += fmt::format("<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' "
                        "height='{:.1f}'><title>{:.0f} s: {:.4f}</title>"
                        "</rect>\n",
                        X(double(Step)), Y(Share),
                        X(double(Step) + 0.85) - X(double(Step)),
                        Y(0) - Y(Share), double(Step) / Steps * Length, Share);
  }
  return fmt::format(
      "<svg viewBox='0 0 {0} {1}' role='img' aria-label='share of requests "
      "not served over time'>\n<g fill='#b5432f'>{2}</g>\n"
      "<line x1='{3}' x2='{4}' y1='{5:.1f}' y2='{5:.1f}' stroke='#1c5d99' "
      "stroke-dasharray='4 3'/>\n"
      "<text x='{6}' y='{5:.1f}'>budget</text>\n"
      "<line x1='{3}' x2='{4}' y1='{7:.1f}' y2='{7:.1f}' stroke='#444'/>\n"
      "<text x='2' y='{8:.1f}'>{9:.3f}</text><text x='2' y='{7:.1f}'>0</text>\n"
      "<text x='{4}' y='{1}' text-anchor='end'>{10:.0f} s</text>\n</svg>\n",
      Width, Height, Bars, Margin, Width - Margin, Y(1 - Objective),
      Width - Margin + 2, Y(0), Y(Top) + 8, Top, Length);
}

} // namespace

std::string bw::burnPage(outcome_series &Series,
                         const std::vector<service_burn> &Report,
                         const burn_options &Options) {
  std::string Body;
  for (const service_burn &Burn : Report) {
    Body += fmt::format("<h2>{}</h2>\n<p>{:.0f} served, {:.0f} not served, "
                        "{:.2f} of the budget spent.</p>\n",
                        escape(Burn.Service), Burn.Good, Burn.Bad,
                        Burn.BudgetSpent);
    Body += "<table><tr><th>window</th><th>long</th><th>short</th>"
            "<th>limit</th><th>state</th></tr>\n";
    for (const window_burn &Each : Burn.Windows)
      Body += fmt::format(
          "<tr><td>{}</td><td>{:.2f}</td><td>{:.2f}</td><td>{:.1f}</td>"
          "<td class='{}'>{}</td></tr>\n",
          escape(Each.Window.Name), Each.LongRate, Each.ShortRate,
          Each.Window.Factor, Each.IsAlert ? "alert" : "ok",
          Each.IsAlert ? "alert" : "ok");
    Body += "</table>\n" +
            plot(Series.services().at(Burn.Service), Options.Objective);
  }
  return fmt::format(
      "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>\n"
      "<title>Burn report</title>\n<style>\n"
      "body {{ font: 15px/1.45 sans-serif; max-width: 760px; margin: 2em "
      "auto; color: #222 }}\n"
      "table {{ border-collapse: collapse }} td, th {{ padding: 2px 14px 2px 0;"
      " text-align: left }}\n"
      ".alert {{ color: #b5432f; font-weight: bold }} svg {{ width: 100% }}\n"
      "svg text {{ font-size: 11px; fill: #444 }}\n</style></head>\n<body>\n"
      "<h1>Burn report</h1>\n<p>Objective: {:.4g} of requests served.</p>\n{}"
      "</body></html>\n",
      Options.Objective, Body);
}
