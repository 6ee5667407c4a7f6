-- The two known deployments at their real sizes: failure domains, backend
-- servers, routers and workspaces. Network delays between domains are not
-- simulated.

CHAO_PHRAYA = {
  domains = 4,
  engines = 12, engine_name = "assistant",
  services = 4, service_name = "ledger",
  routers = 8,
  max_weight_loads = 2,
  -- Rates in tokens per second: two large workspaces, the others small.
  workspaces = {
    ["shop-bangkok"] = 20000, ["shop-chiang-mai"] = 15000, ["shop-ayutthaya"] = 2000,
    ["shop-hat-yai"] = 1500, ["shop-nan"] = 1000,
  },
}

RIGA = {
  domains = 3,
  engines = 18, engine_name = "model",
  services = 3, service_name = "workshop",
  routers = 7,
  max_weight_loads = 3,
  workspaces = {
    ["fleet-centre"] = 20000, ["fleet-harbour"] = 15000, ["fleet-jurmala"] = 2000,
    ["fleet-airport"] = 1500, ["board"] = 1000,
  },
}

local function domain(deployment, index)
  return "domain-" .. (index - 1) % deployment.domains + 1
end

-- The caller's key of a workspace.
function key_of(workspace)
  return "key-of-" .. workspace
end

local function start_servers(deployment)
  local engines, services = {}, {}
  for index = 1, deployment.engines do
    engines[index] = start_engine(deployment.engine_name .. "-" .. index, { tokens_per_second = 200 })
    engines[index].domain = domain(deployment, index)
  end
  for index = 1, deployment.services do
    services[index] = start_service(deployment.service_name .. "-" .. index)
    services[index].domain = domain(deployment, index)
  end
  return engines, services
end

local function put_workspaces(platform, deployment)
  local rows = {}
  for workspace, rate in pairs(deployment.workspaces) do
    rows[#rows + 1] = workspace_row(workspace, { rate = rate, burst = 10 * rate })
    rows[#rows + 1] = key_row(key_of(workspace), workspace)
  end
  put_rows(platform, rows)
end

-- Starts platform, engines, services and routers; each router is configured
-- with up to two peers. Waits until every router serves every workspace.
function start_deployment(deployment)
  local running = { platform = start_platform(), routers = {} }
  running.engines, running.services = start_servers(deployment)
  put_default_rows(running.platform, running.engines, running.services, {
    pool = { max_weight_loads = deployment.max_weight_loads },
  })
  put_workspaces(running.platform, deployment)
  for index = 1, deployment.routers do
    running.routers[index] = start_router("entry-" .. index, running.platform, {
      domain = domain(deployment, index),
      peers = array { running.routers[index - 1], running.routers[index - 2] },
    })
  end
  for _, router in ipairs(running.routers) do
    for workspace in pairs(deployment.workspaces) do
      wait_until_serves(router, "/stock", key_of(workspace))
    end
  end
  return running
end

-- Sends a chat, a lookup and a booking for every workspace through every router
-- at the same time; expects every answer to be correct and every booking to run
-- once.
function expect_all_served(deployment, running, round)
  local requests, names = {}, {}
  local function add(name, request)
    requests[#requests + 1], names[#names + 1] = request, name
  end
  for index, router in ipairs(running.routers) do
    for workspace in pairs(deployment.workspaces) do
      local name = round .. "-" .. workspace .. "-" .. index
      add(name, router_chat(router, name, key_of(workspace), { max_tokens = 16 }))
      add(name, router_request(router, "/stock/" .. name, key_of(workspace)))
      add(name, booking(router, name, key_of(workspace)))
    end
  end
  for index, answer in ipairs(send_all(requests)) do
    local name, url = names[index], requests[index].url
    if url:find("/v1/chat", 1, true) then
      expect_complete_stream(answer, name, 16)
    else
      expect_equal(answer.status, 200, "status of " .. url .. " for " .. name .. " " .. answer.body)
    end
  end
  for _, name in ipairs(names) do
    local total = 0
    for _, service in ipairs(running.services) do
      total = total + runs(service, name)
    end
    expect_equal(total, 1, "runs of booking " .. name)
  end
end

-- Kills one engine, one service and one router, and removes the service and the
-- router from running, so that expect_all_served passes over them.
function kill_one_of_each(deployment, running)
  kill(deployment.engine_name .. "-1")
  kill(deployment.service_name .. "-1")
  table.remove(running.services, 1)
  kill("entry-1")
  table.remove(running.routers, 1)
end
