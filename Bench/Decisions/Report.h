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

}
