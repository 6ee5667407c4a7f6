#include <Bench/Peers/MakeRecords.h>

#include <algorithm>
#include <string>
#include <utility>

namespace lycheeseam::bench {

namespace {

constexpr std::size_t kWorkspaces = 470;
constexpr std::size_t kKeys = 5000;
constexpr std::size_t kModels = 17;
constexpr std::size_t kServers = 4600;
constexpr std::size_t kDomains = 12;
constexpr std::uint16_t kPort = 8000;

std::size_t
Share(std::size_t aAll, std::size_t aPercent)
{
  return std::max<std::size_t>(aAll * aPercent / 100, 1);
}

// Appends one proposal per row, as an operator's single changes do.
class record_writer
{
public:
  template<typename Name, typename Row>
  void Add(Name const& aName, Row aRow)
  {
    std::uint64_t const offset = mEntries.size() + 1;
    config_proposal proposal{
      .mOrigin = { .mProposal =
                     proposal_id{ "entry-1-1-" + std::to_string(offset) },
                   .mInstance = instance_id{ "entry-1" },
                   .mIncarnation = incarnation{ 1 },
                   .mLastOffset = log_offset{ offset + 100 } },
      .mOperator = "som"
    };
    proposal.mChanges.emplace_back(
      row_change<Name, Row>{ .mName = aName, .mRow = std::move(aRow) });
    mEntries.push_back(
      { .mOffset = log_offset{ offset }, .mRecord = std::move(proposal) });
  }

  std::vector<log_entry> Take() { return std::move(mEntries); }

private:
  std::vector<log_entry> mEntries;
};

backend_server
MakeServer(std::size_t aNumber)
{
  std::string const address = "10.1." + std::to_string(aNumber / 250) + "." +
                              std::to_string(aNumber % 250 + 1);
  return { .mId = backend_server_id{ "worker-" + std::to_string(aNumber) },
           .mAddress = { .mAddress = address, .mPort = kPort },
           .mFailureDomain =
             failure_domain{ "domain-" + std::to_string(aNumber % kDomains) } };
}

pool_row
MakePool(std::size_t aModel, std::size_t aServers)
{
  pool_row pool{ .mName = pool_name{ "pool-" + std::to_string(aModel) },
                 .mKind = pool_kind::Model,
                 .mModel = model_name{ "model-" + std::to_string(aModel) },
                 .mWeights = weights_version{ "2026-11" } };
  for (std::size_t i = aModel; i < aServers; i += kModels)
    pool.mServers.push_back(MakeServer(i));
  return pool;
}

}

std::vector<log_entry>
MakeRecords(std::size_t aPercent)
{
  record_writer writer;
  std::size_t const workspaces = Share(kWorkspaces, aPercent);
  for (std::size_t i = 0; i < workspaces; ++i) {
    workspace_id const name{ "workspace-" + std::to_string(i) };
    writer.Add(name,
               workspace_row{ .mName = name, .mRate = 5000, .mBurst = 50000 });
  }
  for (std::size_t i = 0; i < kModels; ++i) {
    pool_row pool = MakePool(i, Share(kServers, aPercent));
    route_row const route{ .mName = route_name{ "route-" + std::to_string(i) },
                           .mPathPrefix = "/v1/chat/completions",
                           .mModel = pool.mModel,
                           .mPool = pool.mName };
    pool_name const name = pool.mName;
    writer.Add(name, std::move(pool));
    writer.Add(route.mName, route);
  }
  for (std::size_t i = 0; i < Share(kKeys, aPercent); ++i) {
    digest const key = digest::Of("key " + std::to_string(i));
    std::string const owner = "workspace-" + std::to_string(i % workspaces);
    writer.Add(key,
               key_row{ .mDigest = key,
                        .mWorkspace = workspace_id{ owner },
                        .mLabel = "counter " + std::to_string(i) });
  }
  return writer.Take();
}

}
