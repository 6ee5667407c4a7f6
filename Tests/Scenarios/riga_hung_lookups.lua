-- One of three servers accepts lookups but never answers, under load such as
-- Riga's morning peak. All lookups must still be answered by the other servers.
local platform = start_platform()
local services = {}
for index = 1, 3 do
  services[index] = start_service("workshop-" .. index)
end
put_default_rows(platform, nil, services, { lookup_timeout_ms = 300 })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")
control(services[1], { hang = true })
for wave = 1, 8 do
  local requests = {}
  for index = 1, 8 do
    requests[index] = router_request(router, "/stock/bike-" .. wave .. "-" .. index, "key-1", { timeout_ms = 5000 })
  end
  for index, answer in ipairs(send_all(requests)) do
    local name = wave .. "-" .. index
    expect_equal(answer.status, 200, "status of lookup " .. name .. " " .. answer.body)
    expect_equal(answer.json.target, "/stock/bike-" .. name, "target of lookup " .. name)
  end
end
