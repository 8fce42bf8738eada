/** Installs the packages of the lock file, unless they are installed already, and builds the project. */
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import process from "node:process";

const INSTALLED_LOCK = "node_modules/.installed-lock.json";

function run(command, args) {
  const result = spawnSync(command, args, { stdio: ["ignore", 2, 2] });
  if (result.status !== 0) {
    console.error(`${command} ${args.join(" ")} exited with status ${result.status}`);
    process.exit(1);
  }
}

const lock = readFileSync("package-lock.json", "utf8");
if (!existsSync(INSTALLED_LOCK) || readFileSync(INSTALLED_LOCK, "utf8") !== lock) {
  run("npm", ["ci", "--no-audit", "--no-fund"]);
  writeFileSync(INSTALLED_LOCK, lock);
}
rmSync("dist", { recursive: true, force: true });
run("npx", ["tsc", "-p", "tsconfig.json"]);
