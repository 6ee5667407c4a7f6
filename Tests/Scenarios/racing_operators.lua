-- Two operators change the same row from the same version. The first proposal
-- in the log must be applied on every router and stay in force.
local platform = start_platform()
local first, second = start_service("first"), start_service("second")
put_default_rows(platform, nil, { first, second })
local routers = { start_router("router-1", platform), start_router("router-2", platform) }
wait_until_serves(routers[1], "/stock", "key-1")
wait_until_serves(routers[2], "/stock", "key-1")

local function proposal(id, server, last_offset)
  return { config_proposal = {
    origin = { proposal = id, instance = id, incarnation = 1, last_offset = last_offset },
    operator = id,
    changes = array { pool_row("ledger", "service", { server }) },
  } }
end
local winner, loser = proposal("winner", first, 1000), proposal("loser", second, 1000)
append(platform, winner)
append(platform, loser)
append(platform, winner)
local function servers_seen(router)
  local seen = {}
  for _ = 1, 6 do
    seen[send(router_request(router, "/stock", "key-1")).json.server] = true
  end
  return seen
end
for _, router in ipairs(routers) do
  wait_until(router.name .. " uses the first proposal", function()
    local seen = servers_seen(router)
    return seen["first"] and not seen["second"]
  end)
end
-- A proposal that lands after its last offset is ignored.
append(platform, proposal("late", second, 1))
holds_for("the first proposal is in force", 500, function()
  return not servers_seen(routers[1])["second"] and not servers_seen(routers[2])["second"]
end)
