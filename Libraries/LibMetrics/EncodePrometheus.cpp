#include <LibMetrics/EncodePrometheus.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <string_view>

namespace lycheeseam {

namespace {

constexpr std::string_view kPrefix = "lycheeseam_";

std::string
EscapeLabelValue(std::string_view aText)
{
  std::string escaped;
  for (char const character : aText) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '\\' || character == '"')
      escaped += '\\';
    escaped += character;
  }
  return escaped;
}

std::string
NumberText(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.9g", aValue);
  return text.data();
}

std::string
SecondsText(duration aDuration)
{
  return NumberText(std::chrono::duration<double>{ aDuration }.count());
}

std::string
Label(std::string_view aName, std::string_view aValue)
{
  return std::string{ aName } + "=\"" + EscapeLabelValue(aValue) + "\"";
}

// Formats the labels of the series, followed by an extra label unless its name
// is empty.
std::string
Labels(counter_series const& aSeries,
       std::string_view aExtraLabel = {},
       std::string_view aValue = {})
{
  std::string labels;
  if (!aSeries.mLabel.empty())
    labels = Label(aSeries.mLabel, aSeries.mLabelValue);
  if (!aSeries.mSecondLabel.empty())
    labels += "," + Label(aSeries.mSecondLabel, aSeries.mSecondLabelValue);
  if (!aExtraLabel.empty())
    labels += (labels.empty() ? "" : ",") + Label(aExtraLabel, aValue);
  return labels.empty() ? labels : "{" + labels + "}";
}

std::string_view
KindName(latency_kind aKind)
{
  switch (aKind) {
    case latency_kind::FirstToken:
      return "first_token_seconds";
    case latency_kind::TokenGap:
      return "token_gap_seconds";
    case latency_kind::QueueWait:
      return "queue_wait_seconds";
  }
  return "unknown_seconds";
}

std::string_view
ScopeName(latency_scope aScope)
{
  return aScope == latency_scope::Pool ? "pool" : "workspace";
}

// Appends sample lines to a text, with a TYPE line when the metric changes.
class prometheus_writer
{
public:
  void Line(std::string_view aMetric,
            std::string_view aType,
            std::string_view aSuffix,
            std::string_view aLabels,
            std::string_view aValue)
  {
    std::string const metric = std::string{ kPrefix } + std::string{ aMetric };
    if (metric != mMetric)
      mText.append("# TYPE ").append(metric).append(" ").append(aType) += '\n';
    mMetric = metric;
    mText.append(metric).append(aSuffix).append(aLabels);
    mText.append(" ").append(aValue) += '\n';
  }

  [[nodiscard]] std::string const& Text() const noexcept { return mText; }

private:
  std::string mMetric;
  std::string mText;
};

void
WriteCounters(prometheus_writer& aWriter, metrics_report const& aReport)
{
  for (counter_report const& counter : aReport.mCounters)
    aWriter.Line(counter.mSeries.mMetric,
                 "counter",
                 "",
                 Labels(counter.mSeries),
                 std::to_string(counter.mTotal));
  for (counter_report const& counter : aReport.mCounters)
    aWriter.Line(counter.mSeries.mMetric + "_per_second",
                 "gauge",
                 "",
                 Labels(counter.mSeries),
                 NumberText(counter.mPerSecond));
}

void
WriteGauges(prometheus_writer& aWriter, metrics_report const& aReport)
{
  for (gauge_report const& gauge : aReport.mGauges)
    aWriter.Line(gauge.mSeries.mMetric,
                 "gauge",
                 "",
                 Labels(gauge.mSeries),
                 NumberText(gauge.mValue));
}

void
WriteHistogram(prometheus_writer& aWriter, histogram_report const& aReport)
{
  counter_series const& series = aReport.mSeries;
  latency_histogram const& histogram = aReport.mHistogram;
  auto const write = [&](std::string_view aSuffix,
                         std::string const& aLabels,
                         std::string const& aValue) {
    aWriter.Line(series.mMetric, "histogram", aSuffix, aLabels, aValue);
  };
  std::uint64_t cumulative = 0;
  for (std::size_t index = 0; index < histogram.Buckets().size(); ++index) {
    cumulative += histogram.Buckets()[index];
    std::string const bound = index < latency_histogram::kBounds.size()
                                ? SecondsText(latency_histogram::kBounds[index])
                                : "+Inf";
    write("_bucket", Labels(series, "le", bound), std::to_string(cumulative));
  }
  write("_sum", Labels(series), SecondsText(histogram.Sum()));
  write("_count", Labels(series), std::to_string(histogram.Count()));
}

void
WriteLatency(prometheus_writer& aWriter, latency_report const& aLatency)
{
  latency_series const& series = aLatency.mSeries;
  std::string const scope{ ScopeName(series.mScope) };
  std::string const metric =
    scope + "_" + std::string{ KindName(series.mKind) };
  std::string const label = Label(scope, series.mName);
  auto const writeQuantile = [&](std::string_view aQuantile, duration aValue) {
    std::string const labels =
      "{" + label + "," + Label("quantile", aQuantile) + "}";
    aWriter.Line(metric, "summary", "", labels, SecondsText(aValue));
  };
  writeQuantile("0.5", aLatency.mQuantiles.mP50);
  writeQuantile("0.95", aLatency.mQuantiles.mP95);
  writeQuantile("0.99", aLatency.mQuantiles.mP99);
  std::string const labels = "{" + label + "}";
  aWriter.Line(metric, "summary", "_sum", labels, SecondsText(aLatency.mSum));
  aWriter.Line(
    metric, "summary", "_count", labels, std::to_string(aLatency.mCount));
}

}

std::string
EncodePrometheus(metrics_report const& aReport)
{
  prometheus_writer writer;
  WriteCounters(writer, aReport);
  WriteGauges(writer, aReport);
  for (histogram_report const& histogram : aReport.mHistograms)
    WriteHistogram(writer, histogram);
  for (latency_report const& latency : aReport.mLatencies)
    WriteLatency(writer, latency);
  return writer.Text();
}

}
