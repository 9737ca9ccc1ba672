/**
 * Builds target/bilberryd.mjs from any state of node_modules: installs the packages of the lock file if some are missing, of another
 * version or for another processor, and bundles. Of several builds at a time one runs, the others wait for it.
 *
 * @module
 */
import { spawnSync } from 'node:child_process'
import { createHash } from 'node:crypto'
import { existsSync, lstatSync, readFileSync, realpathSync, rmSync } from 'node:fs'
import { createServer } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

const root = realpathSync(fileURLToPath(new URL('..', import.meta.url)))
const modules = `${root}/node_modules`
const pollIntervalMs = 100

/** Waits until no other build of this folder runs, as far as that can be told. The kernel frees an abstract socket address when its process ends, however it ends. */
async function waitForTurn () {
  const path = `\0bilberryworks-build-${createHash('sha256').update(root).digest('hex')}`
  for (;;) {
    const server = createServer()
    const isFree = await new Promise(resolve => {
      server.once('error', error => resolve(error.code !== 'EADDRINUSE'))
      server.listen(path, () => resolve(true))
    })
    if (isFree) return server
    await wait(pollIntervalMs)
  }
}

function readPackages (file) {
  try {
    return JSON.parse(readFileSync(file, 'utf8')).packages
  } catch {
    return undefined
  }
}

/** Returns whether npm has finished an installation of the lock file, and all of its packages are still there. */
function isInstalled () {
  const wanted = readPackages(`${root}/package-lock.json`)
  // npm writes this file last.
  const installed = readPackages(`${modules}/.package-lock.json`)
  if (wanted === undefined || installed === undefined) return false
  return Object.entries(wanted).every(([path, { version, integrity, optional, link }]) => {
    // The bundle takes the packages of this repository from their sources.
    if (!path.includes('node_modules/') || link === true) return true
    const found = installed[path]
    if (found === undefined) return optional === true
    return found.version === version && found.integrity === integrity && existsSync(`${root}/${path}/package.json`)
  })
}

/** Installs the packages of the lock file; ends this process if that fails. */
function installPackages () {
  // npm would empty the folder that a link leads to.
  if (lstatSync(modules, { throwIfNoEntry: false })?.isSymbolicLink()) rmSync(modules)
  const { status, error } = spawnSync('npm', ['ci', '--silent', '--prefer-offline', '--no-audit', '--no-fund', '--ignore-scripts'], { cwd: root, stdio: ['ignore', 2, 2] })
  if (status === 0) return
  console.error(`Packages of package-lock.json can't be installed: ${error?.message ?? `npm ci ended with status ${status}`}`)
  process.exit(status ?? 1)
}

/** Bundles in this process; returns whether that succeeded. */
async function tryBundle () {
  try {
    await import('./bundle.mjs')
    return true
  } catch (error) {
    console.error(`Packages are installed again, since the bundle can't be built: ${error.message}`)
    return false
  }
}

const turn = await waitForTurn()
if (!isInstalled() || !await tryBundle()) {
  installPackages()
  // A module that could not be loaded is not loaded again by the same process.
  process.exitCode = spawnSync(process.execPath, [`${root}/scripts/bundle.mjs`], { cwd: root, stdio: 'inherit' }).status ?? 1
}
turn.close()
