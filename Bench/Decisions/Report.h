#pragma once

#include <Bench/Decisions/CaseResult.h>

#include <filesystem>
#include <span>

namespace lycheeseam::bench {

/// Prints a table in Markdown.
void
PrintTable(std::span<case_result const> aResults);

/// Writes the results as JSON; throws error when the file can't be written.
void
WriteJson(std::span<case_result const> aResults,
          std::filesystem::path const& aFile);

/// Writes one table for each deployment's hit rate and p99 first token, a row
/// for each case and a column for each policy, for plots; throws error.
void
WritePlotTables(std::span<case_result const> aResults,
                std::filesystem::path const& aFolder);

}
