/**
 * Prepares a fresh clone: installs the dependencies from the lock file if they are missing or outdated, and builds.
 *
 * @module
 */
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const installMark = `${root}/node_modules/.package-lock.json`
const lockFile = `${root}/package-lock.json`

function runCommand (command, args) {
  const { status } = spawnSync(command, args, { cwd: root, stdio: ['ignore', 2, 2] })
  if (status !== 0) process.exit(status ?? 1)
}

function isInstalled () {
  return existsSync(installMark) && statSync(installMark).mtimeMs >= statSync(lockFile).mtimeMs
}

if (!isInstalled()) runCommand('npm', ['ci', '--no-audit', '--no-fund', '--ignore-scripts'])
runCommand(process.execPath, [`${root}/node_modules/typescript/bin/tsc`, '-b'])
