-- A booking runs, its answer is lost, and the caller's app sends it again
-- through the other router, as seen with brake jobs in Riga. It must run once.
local platform = start_platform()
local service = start_service("workshop-1")
local spare = start_service("workshop-2")
service.through = relay("way", service.port)
put_default_rows(platform, nil, { service, spare })
local routers = { start_router("router-1", platform) }
routers[2] = start_router("router-2", platform, { peers = { routers[1] } })
wait_until_serves(routers[1], "/stock", "key-1")
wait_until_serves(routers[2], "/stock", "key-1")

local function total(id)
  return runs(service, id) + runs(spare, id)
end
for index = 1, 8 do
  local id = "brake-job-" .. index
  lose_next_answer("way")
  local verdicts = {}
  for attempt = 1, 4 do
    local answer = send(booking(routers[attempt % 2 + 1], id, "key-1"))
    verdicts[attempt] = header(answer, "Lycheeseam-Verdict") or tostring(answer.status)
  end
  expect_equal(total(id), 1, "runs of " .. id .. " (" .. table.concat(verdicts, ", ") .. ")")
  for attempt = 2, 4 do
    expect(verdicts[attempt] ~= "not_run", "a repeat of " .. id .. " is not answered as not run")
  end
end
