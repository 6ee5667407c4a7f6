#include <LibConfigLog/ReferenceCheck.h>
#include <LibConfigLog/RowChanges.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace lycheeseam {

namespace {

bool
IsChanged(row_reference const& aRow, std::span<any_row_change const> aChanges)
{
  return std::ranges::find(aChanges, aRow, &RowOf) != aChanges.end();
}

// Reports the fault on the named row when this proposal removes it, else on the
// row that names it.
config_fault
DanglingReferenceFault(row_reference const& aFrom,
                       row_reference const& aTo,
                       bool aIsRemoved,
                       config_rule aMissing,
                       config_rule aInUse)
{
  if (aIsRemoved)
    return { aInUse, aTo, "it is still used by \"" + aFrom.mName + "\"" };
  return { aMissing,
           aFrom,
           "it refers to \"" + aTo.mName + "\", which is missing" };
}

void
CheckRoutePool(config_tables const& aTables,
               route_row const& aRoute,
               std::span<any_row_change const> aChanges,
               std::vector<config_fault>& aFaults)
{
  row_reference const route{ table_kind::Routes, aRoute.mName.Text() };
  row_reference const named{ table_kind::Pools, aRoute.mPool.Text() };
  pool_row const* const pool = aTables.FindPool(aRoute.mPool);
  if (!pool) {
    aFaults.push_back(DanglingReferenceFault(route,
                                             named,
                                             IsChanged(named, aChanges),
                                             config_rule::MissingPool,
                                             config_rule::PoolInUse));
    return;
  }
  if (!aRoute.mModel.IsEmpty() && pool->mKind != pool_kind::Model)
    aFaults.push_back({ config_rule::MissingPool,
                        route,
                        "it has a model, but pool \"" + named.mName +
                          "\" is not a model pool" });
}

void
CheckKeyWorkspace(config_tables const& aTables,
                  key_row const& aKey,
                  std::span<any_row_change const> aChanges,
                  std::vector<config_fault>& aFaults)
{
  if (aTables.FindWorkspace(aKey.mWorkspace))
    return;
  row_reference const named{ table_kind::Workspaces, aKey.mWorkspace.Text() };
  aFaults.push_back(
    DanglingReferenceFault({ table_kind::Keys, aKey.mDigest.Hex() },
                           named,
                           IsChanged(named, aChanges),
                           config_rule::MissingWorkspace,
                           config_rule::WorkspaceInUse));
}

// Two routes with the same path prefix and model would make routing
// ambiguous.
void
CheckDistinctPrefixes(config_tables const& aTables,
                      std::vector<config_fault>& aFaults)
{
  using route_key = std::tuple<std::string_view, model_name>;
  std::map<route_key, route_name> routesByKey;
  for (auto const& [name, entry] : aTables.mRoutes) {
    route_key const key{ entry.mRow.mPathPrefix, entry.mRow.mModel };
    auto const [other, isNew] = routesByKey.emplace(key, name);
    if (!isNew)
      aFaults.push_back({ config_rule::PathPrefix,
                          { table_kind::Routes, name.Text() },
                          "route \"" + other->second.Text() +
                            "\" has the same path_prefix and model" });
  }
}

// Load and cached prefixes are tracked by server id over all pools, so an id
// must mean the same server in each of them.
void
CheckServerAddresses(config_tables const& aTables,
                     std::vector<config_fault>& aFaults)
{
  std::map<backend_server_id, endpoint> addresses;
  for (auto const& [name, entry] : aTables.mPools) {
    for (backend_server const& server : entry.mRow.mServers) {
      auto const [known, isNew] =
        addresses.emplace(server.mId, server.mAddress);
      if (!isNew && known->second != server.mAddress)
        aFaults.push_back({ config_rule::Servers,
                            { table_kind::Pools, name.Text() },
                            "server \"" + server.mId.Text() +
                              "\" has another address in another pool" });
    }
  }
}

}

void
CheckReferences(config_tables const& aChanged,
                std::span<any_row_change const> aChanges,
                std::vector<config_fault>& aFaults)
{
  for (auto const& [name, entry] : aChanged.mRoutes)
    CheckRoutePool(aChanged, entry.mRow, aChanges, aFaults);
  for (auto const& [name, entry] : aChanged.mKeys)
    CheckKeyWorkspace(aChanged, entry.mRow, aChanges, aFaults);
  CheckDistinctPrefixes(aChanged, aFaults);
  CheckServerAddresses(aChanged, aFaults);
}

}
