-- The Chao Phraya deployment at its real size: all workspaces are served
-- through each of 8 routers, and through the remaining ones after one engine,
-- one service and one router have been killed.
local running = start_deployment(CHAO_PHRAYA)
expect_all_served(CHAO_PHRAYA, running, "first")
kill_one_of_each(CHAO_PHRAYA, running)
expect_all_served(CHAO_PHRAYA, running, "second")
