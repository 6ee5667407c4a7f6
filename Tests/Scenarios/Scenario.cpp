#include "Scenario.h"

#include "ScenarioFailure.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

namespace lycheeseam {

namespace {

/// How many bytes from the end of each process's output a failure report shows.
constexpr std::size_t kTailBytes = 2000;

/// Folders of the build directory that contain one folder per program.
constexpr std::array<std::string_view, 3> kProgramFolders{ "Services",
                                                           "Utilities",
                                                           "StandIns" };

std::filesystem::path
MakeFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr)
    throw scenario_failure("can't create a temporary folder for the scenario");
  return name;
}

std::string
Tail(std::filesystem::path const& aFile)
{
  std::ifstream input{ aFile };
  std::string const text{ std::istreambuf_iterator<char>{ input }, {} };
  return text.size() <= kTailBytes ? text
                                   : text.substr(text.size() - kTailBytes);
}

}

scenario::scenario(std::filesystem::path aBuildDirectory)
  : mBuildDirectory(std::move(aBuildDirectory))
  , mFolder(MakeFolder())
{
}

scenario::~scenario()
{
  mCalls.clear();
  mProcesses.clear();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void
scenario::Start(std::string_view aName,
                std::string_view aProgram,
                std::span<std::string const> aArguments)
{
  std::string const name{ aName };
  if (mProcesses.contains(name))
    throw scenario_failure(name + " has already been started");
  mProcesses[name] = std::make_unique<child_process>(
    FindProgram(aProgram), aArguments, mFolder / (name + ".log"));
}

child_process&
scenario::Process(std::string_view aName)
{
  auto const found = mProcesses.find(aName);
  if (found == mProcesses.end())
    throw scenario_failure("there is no process named " + std::string{ aName });
  return *found->second;
}

void
scenario::Discard(std::string_view aName)
{
  mProcesses.erase(mProcesses.find(aName));
}

std::filesystem::path
scenario::WriteFile(std::string_view aName, std::string_view aText) const
{
  std::filesystem::path path = mFolder / aName;
  std::ofstream{ path } << aText;
  return path;
}

std::uint64_t
scenario::Begin(http_call_options aOptions, std::string_view aConnection)
{
  std::shared_ptr<curl_session> session;
  if (!aConnection.empty())
    session = mSessions[std::string{ aConnection }];
  if (!session)
    session = std::make_shared<curl_session>();
  if (!aConnection.empty())
    mSessions[std::string{ aConnection }] = session;
  mCalls[++mLastCall] =
    std::make_unique<http_call>(std::move(aOptions), session);
  return mLastCall;
}

http_call&
scenario::Call(std::uint64_t aNumber)
{
  auto const found = mCalls.find(aNumber);
  if (found == mCalls.end())
    throw scenario_failure(
      "there is no call of this number, or finish() has been called on it");
  return *found->second;
}

http_result
scenario::Finish(std::uint64_t aNumber)
{
  http_result result = Call(aNumber).Wait();
  mCalls.erase(aNumber);
  return result;
}

std::string
scenario::OutputTails() const
{
  std::string tails;
  for (auto const& entry : std::filesystem::directory_iterator{ mFolder }) {
    if (entry.path().extension() != ".log")
      continue;
    tails += "--- " + entry.path().filename().string() + "\n";
    tails += Tail(entry.path()) + "\n";
  }
  return tails;
}

std::filesystem::path
scenario::FindProgram(std::string_view aProgram) const
{
  for (std::string_view const folder : kProgramFolders) {
    std::filesystem::path const parent = mBuildDirectory / folder;
    if (!std::filesystem::is_directory(parent))
      continue;
    for (auto const& entry : std::filesystem::directory_iterator{ parent }) {
      std::filesystem::path program = entry.path() / aProgram;
      if (std::filesystem::is_regular_file(program))
        return program;
    }
  }
  throw scenario_failure("the build directory has no program " +
                         std::string{ aProgram });
}

}
