-- A backend server is removed from its pool. Within 3 s it must get no new
-- requests, and the requests that it runs must finish normally.
local platform = start_platform()
local leaving, staying = start_service("leaving"), start_service("staying")
put_default_rows(platform, nil, { leaving, staying })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")

control(leaving, { delay_ms = 1000 })
control(staying, { delay_ms = 1000 })
local calls = {}
for index = 1, 10 do
  calls[index] = begin(booking(router, "early-" .. index, "key-1", { no_key = true }))
end
wait_until("the bookings run", function()
  local total = 0
  for index = 1, 10 do
    total = total + runs(leaving, "early-" .. index) + runs(staying, "early-" .. index)
  end
  return total == 10
end)
put_rows(platform, { pool_row("ledger", "service", { staying }) })
for index, call in ipairs(calls) do
  expect_equal(finish(call).status, 200, "status of early-" .. index)
end
control(staying, { delay_ms = 0 })
wait_until("the removed server gets no requests", function()
  local answers = {}
  for index = 1, 8 do
    answers[index] = router_request(router, "/stock", "key-1")
  end
  for _, answer in ipairs(send_all(answers)) do
    if answer.json.server == "leaving" then
      return false
    end
  end
  return true
end, 3000)
for index = 1, 10 do
  local id = "late-" .. index
  expect_equal(send(booking(router, id, "key-1", { no_key = true })).status, 200, "status of " .. id)
  expect_equal(runs(leaving, id), 0, "runs of " .. id .. " on the removed server")
end
