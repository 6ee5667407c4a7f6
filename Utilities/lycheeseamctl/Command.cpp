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
ParseTableCommand(std::span<std::string const> aPositionals)
{
  std::string const path = "/v1/" + aPositionals[0];
  std::string const verb = aPositionals.size() > 1 ? aPositionals[1] : "list";
  if (verb == "list" && aPositionals.size() <= 2)
    return command{ .mMethod = "GET", .mPath = path };
  if (verb == "get" && aPositionals.size() == 3)
    return command{ .mMethod = "GET", .mPath = path + "/" + aPositionals[2] };
  if (verb == "delete" && aPositionals.size() == 3)
    return command{ .mMethod = "DELETE",
                    .mPath = path + "/" + aPositionals[2] };
  if (verb == "put" && aPositionals.size() == 4) {
    return command{ .mMethod = "PUT",
                    .mPath = path + "/" + aPositionals[2],
                    .mBodyFile = aPositionals[3] };
  }
  throw invalid_input(
    "a table command is one of: list, get NAME, put NAME FILE, "
    "delete NAME");
}

}

command
ParseCommand(std::span<std::string const> aPositionals, bool aIsDryRun)
{
  if (aPositionals.empty())
    throw invalid_input("the command is missing");
  std::string const& subject = aPositionals[0];
  if (std::ranges::find(kTables, subject) != kTables.end())
    return ParseTableCommand(aPositionals);
  if (subject == "apply" && aPositionals.size() == 2) {
    return command{ .mMethod = "POST",
                    .mPath = aIsDryRun ? "/v1/apply?dry_run=true" : "/v1/apply",
                    .mBodyFile = aPositionals[1] };
  }
  if (subject == "status" && aPositionals.size() == 1)
    return command{ .mMethod = "GET", .mPath = "/v1/status" };
  if (subject == "metrics" && aPositionals.size() == 1)
    return command{ .mMethod = "GET", .mPath = "/metrics" };
  throw invalid_input("the command \"" + subject +
                      "\" is unknown or has a wrong number of arguments");
}

}
