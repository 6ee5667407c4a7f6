#include <Bench/Peers/Report.h>
#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace lycheeseam::bench {

std::string
FormatTable(std::span<measurement const> aMeasurements)
{
  std::ostringstream text;
  for (measurement const& row : aMeasurements)
    text << std::left << std::setw(52) << row.mName << std::right
         << std::setw(8) << row.mSize << ' ' << std::left << std::setw(14)
         << row.mSizeOf << std::right << std::setw(14) << std::setprecision(6)
         << row.mValue << ' ' << row.mUnit << '\n';
  return text.str();
}

std::string
FormatJson(std::span<measurement const> aMeasurements)
{
  nlohmann::json rows = nlohmann::json::array();
  for (measurement const& row : aMeasurements)
    rows.push_back({ { "name", row.mName },
                     { "size", row.mSize },
                     { "size_of", row.mSizeOf },
                     { "value", row.mValue },
                     { "unit", row.mUnit } });
  return rows.dump(2);
}

}
