#include "Command.h"

#include <LibCore/InvalidInput.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace lycheeseam {

namespace {

constexpr std::array<std::string_view, 4> kTables{ "routes",
                                                   "pools",
                                                   "keys",
                                                   "workspaces" };

command
ParseTableCommand(std::span<std::string const> aWords)
{
  std::string const path = "/v1/" + aWords[0];
  std::string const verb = aWords.size() > 1 ? aWords[1] : "list";
  if (verb == "list" && aWords.size() <= 2)
    return command{ .mMethod = "GET", .mPath = path };
  if (verb == "get" && aWords.size() == 3)
    return command{ .mMethod = "GET", .mPath = path + "/" + aWords[2] };
  if (verb == "delete" && aWords.size() == 3)
    return command{ .mMethod = "DELETE", .mPath = path + "/" + aWords[2] };
  if (verb == "put" && aWords.size() == 4) {
    return command{ .mMethod = "PUT",
                    .mPath = path + "/" + aWords[2],
                    .mBodyFile = aWords[3] };
  }
  throw invalid_input("a table takes: list, get NAME, put NAME FILE, "
                      "delete NAME");
}

}

command
ParseCommand(std::span<std::string const> aWords, bool aIsDryRun)
{
  if (aWords.empty())
    throw invalid_input("a command is needed");
  std::string const& subject = aWords[0];
  if (std::ranges::find(kTables, subject) != kTables.end())
    return ParseTableCommand(aWords);
  if (subject == "apply" && aWords.size() == 2) {
    return command{ .mMethod = "POST",
                    .mPath = aIsDryRun ? "/v1/apply?dry_run=true" : "/v1/apply",
                    .mBodyFile = aWords[1] };
  }
  if (subject == "status" && aWords.size() == 1)
    return command{ .mMethod = "GET", .mPath = "/v1/status" };
  if (subject == "metrics" && aWords.size() == 1)
    return command{ .mMethod = "GET", .mPath = "/metrics" };
  throw invalid_input("there is no command \"" + subject + "\" of that form");
}

}
