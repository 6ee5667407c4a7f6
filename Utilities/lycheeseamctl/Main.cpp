#include "AdminClient.h"
#include "ExitCode.h"
#include "FormatReply.h"
#include <LibCore/Error.h>
#include <LibCore/InvalidInput.h>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <vector>

DEFINE_string(server, "127.0.0.1:8081", "An instance's admin address.");
DEFINE_string(if_match, "", "Change the row only if it has this version.");
DEFINE_bool(dry_run, false, "With apply: show the changes and make none.");
DEFINE_bool(json, false, "Print answers as they came, for scripts.");

namespace lycheeseam {

namespace {

constexpr char const* kKeyVariable = "LYCHEESEAM_OPERATOR_KEY";

constexpr char const* kUsage =
  "lycheeseamctl [flags] COMMAND\n"
  "  routes|pools|keys|workspaces  list | get NAME | put NAME FILE | delete "
  "NAME\n"
  "  apply FILE [--dry_run]        make the tables equal to those of a file\n"
  "  status                        state of this instance and its known peers\n"
  "  metrics                       counters in Prometheus's text format\n"
  "The operator's key is read from LYCHEESEAM_OPERATOR_KEY.\n"
  "Exit status: 0 done, 1 no answer, or a file can't be read, 2 usage,\n"
  "3 bad call, 4 conflict, 5 refused, 6 unknown whether the change comes into\n"
  "force.";

exit_code
Run(std::vector<std::string> const& aPositionals)
{
  command const parsed = ParseCommand(aPositionals, FLAGS_dry_run);
  char const* const key = std::getenv(kKeyVariable);
  admin_client_options const options{ .mServer = endpoint::Parse(FLAGS_server),
                                      .mKey = key ? key : "",
                                      .mIfMatch = FLAGS_if_match };
  admin_reply const reply = CallAdmin(options, parsed);
  exit_code const result = ExitCodeOf(reply.mStatus);
  std::ostream& stream = result == exit_code::Success ? std::cout : std::cerr;
  if (FLAGS_json)
    stream << reply.mBody << "\n";
  else
    stream << FormatReply(reply.mBody);
  return result;
}

exit_code
Start(std::vector<std::string> const& aPositionals)
{
  try {
    return Run(aPositionals);
  } catch (invalid_input const& fault) {
    std::cerr << "lycheeseamctl: " << fault.what() << "\n" << kUsage << "\n";
    return exit_code::Usage;
  } catch (error const& fault) {
    std::cerr << "lycheeseamctl: " << fault.what() << "\n";
    return exit_code::Failure;
  }
}

}

}

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(lycheeseam::kUsage);
  gflags::SetVersionString(LYCHEESEAM_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::vector<std::string> const positionals{ aArguments + 1,
                                              aArguments + aCount };
  return static_cast<int>(lycheeseam::Start(positionals));
}
