#pragma once

#include <Bench/Decisions/CaseResult.h>

#include <filesystem>
#include <span>

namespace lycheeseam::bench {

/// Prints the results as a Markdown table.
void
PrintTable(std::span<case_result const> aResults);

/// Writes the results as JSON; throws error if the file can't be written.
void
WriteJson(std::span<case_result const> aResults,
          std::filesystem::path const& aFile);

/// Writes a table for plots for each deployment's hit rate and p99 first token,
/// with a row per case and a column per policy; throws error if a file can't be
/// written.
void
WritePlotTables(std::span<case_result const> aResults,
                std::filesystem::path const& aFolder);

}
