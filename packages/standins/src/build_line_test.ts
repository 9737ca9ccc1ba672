import { spawn } from 'node:child_process'
import { cpSync, existsSync, mkdirSync, readFileSync, rmSync, symlinkSync, utimesSync, writeFileSync } from 'node:fs'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { basename, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const root = fileURLToPath(new URL('../../..', import.meta.url))
const buildLine = /^build = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))![1]!
const ignored = new Set(['node_modules', 'dist', 'target'])
const hiddenLockFile = 'node_modules/.package-lock.json'
const maxRepeatedMs = 2_000

/** Installs the packages as `npm ci` does: empties node_modules, adds the packages one by one, and its lock file last. */
const npm = `#!${process.execPath}
  import { appendFileSync, copyFileSync, cpSync, mkdirSync, readdirSync, rmSync, symlinkSync } from 'node:fs'
  const source = ${JSON.stringify(join(root, 'node_modules'))}
  appendFileSync('npm.log', process.argv[2] + '\\n')
  const folder = process.cwd() + '/node_modules'
  try { for (const name of readdirSync(folder)) rmSync(folder + '/' + name, { recursive: true }) } catch {}
  mkdirSync(folder, { recursive: true })
  for (const name of readdirSync(source)) {
    if (name.startsWith('.') || name === '@bilberryworks') continue
    // The bundler finds its program next to its own folder.
    if (name === 'esbuild' || name === '@esbuild') cpSync(source + '/' + name, folder + '/' + name, { recursive: true })
    else if (!name.startsWith('@')) symlinkSync(source + '/' + name, folder + '/' + name)
    else {
      mkdirSync(folder + '/' + name)
      for (const part of readdirSync(source + '/' + name)) symlinkSync(source + '/' + name + '/' + part, folder + '/' + name + '/' + part)
    }
  }
  copyFileSync(source + '/.package-lock.json', folder + '/.package-lock.json')`

/** A checkout with a stub for npm. */
interface Checkout {
  /** Its folder. */
  folder: string
  /** Runs a command in it. */
  run (command: string): Promise<{ status: number | null, output: string, elapsedMs: number }>
  /** Returns how often npm has installed packages since the last call. */
  countInstallations (): number
  /** Installs the packages, as an earlier build did. */
  install (): Promise<void>
}

async function createCheckout (): Promise<Checkout> {
  const folder = await mkdtemp(join(tmpdir(), 'build-line-test-'))
  for (const name of ['packages', 'platform', 'scripts', 'deploy', 'package.json', 'package-lock.json', '.npmrc', 'tsconfig.base.json']) {
    cpSync(join(root, name), join(folder, name), { recursive: true, filter: path => !ignored.has(basename(path)) && !path.endsWith('.tsbuildinfo') })
  }
  const programs = join(folder, 'programs')
  mkdirSync(programs)
  writeFileSync(join(programs, 'npm'), npm, { mode: 0o755 })
  const checkout: Checkout = {
    folder,
    run (command) {
      const startedMs = performance.now()
      const child = spawn('/bin/sh', ['-c', command], { cwd: folder, env: { ...process.env, PATH: `${programs}:${process.env['PATH']}` }, stdio: ['ignore', 'pipe', 'pipe'] })
      let output = ''
      for (const stream of [child.stdout, child.stderr]) stream.on('data', (data: Buffer) => { output += data.toString('utf8') })
      return new Promise(resolve => child.once('close', status => resolve({ status, output, elapsedMs: performance.now() - startedMs })))
    },
    countInstallations () {
      const log = join(folder, 'npm.log')
      const count = existsSync(log) ? readFileSync(log, 'utf8').split('\n').length - 1 : 0
      rmSync(log, { force: true })
      return count
    },
    async install () {
      await checkout.run('npm ci')
      checkout.countInstallations()
    }
  }
  return checkout
}

/** Makes node_modules newer than the lock file, as a copy is. */
function refreshModules (folder: string): void {
  const time = new Date(Date.now() + 60_000)
  utimesSync(join(folder, 'node_modules'), time, time)
}

for (const [state, prepare] of [
  ['of another processor', async ({ folder, install }) => {
    await install()
    rmSync(join(folder, `node_modules/@esbuild/${process.platform}-${process.arch}`), { recursive: true })
    mkdirSync(join(folder, 'node_modules/@esbuild/other-processor'))
  }],
  ['of another processor, as npm installed it there', async ({ folder, install }) => {
    await install()
    const name = `node_modules/@esbuild/${process.platform}-${process.arch}`
    rmSync(join(folder, name), { recursive: true })
    writeFileSync(join(folder, hiddenLockFile), readFileSync(join(folder, hiddenLockFile), 'utf8').replace(`"${name}"`, '"node_modules/@esbuild/other-processor"'))
  }],
  ['that an interrupted installation left', async ({ folder, install }) => {
    await install()
    for (const name of [hiddenLockFile, 'node_modules/esbuild', 'node_modules/prom-client']) rmSync(join(folder, name), { recursive: true })
  }],
  ['that an interrupted copy left', async ({ folder, install }) => {
    await install()
    rmSync(join(folder, 'node_modules/prom-client'))
    mkdirSync(join(folder, 'node_modules/prom-client'))
    cpSync(join(root, 'node_modules/prom-client/package.json'), join(folder, 'node_modules/prom-client/package.json'))
  }],
  ['of an older lock file', async ({ folder, install }) => {
    await install()
    const file = join(folder, hiddenLockFile)
    const lock = JSON.parse(readFileSync(file, 'utf8')) as { packages: Record<string, { version: string }> }
    lock.packages['node_modules/prom-client']!.version = '1.0.0'
    writeFileSync(file, JSON.stringify(lock))
  }]
] as Array<[string, (checkout: Checkout) => Promise<void>]>) {
  test.serial(`the build line installs anew beside a node_modules ${state}`, async t => {
    const checkout = await createCheckout()
    await prepare(checkout)
    refreshModules(checkout.folder)
    const { status, output } = await checkout.run(buildLine)
    t.is(status, 0, output)
    t.is(checkout.countInstallations(), 1)
    t.is((await checkout.run('node --check target/bilberryd.mjs')).status, 0)
  })
}

test.serial('the build line builds a clean checkout, and does not install again', async t => {
  const checkout = await createCheckout()
  const { status, output } = await checkout.run(buildLine)
  t.is(status, 0, output)
  t.is(checkout.countInstallations(), 1)
  const repeated = [await checkout.run(buildLine), await checkout.run(buildLine), await checkout.run(buildLine)]
  t.deepEqual(repeated.map(each => each.status), [0, 0, 0])
  t.is(checkout.countInstallations(), 0)
  t.true(Math.min(...repeated.map(({ elapsedMs }) => elapsedMs)) < maxRepeatedMs)
})

test.serial('two build lines at a time install once and do not disturb each other', async t => {
  const checkout = await createCheckout()
  const results = await Promise.all([checkout.run(buildLine), checkout.run(buildLine)])
  t.deepEqual(results.map(({ status }) => status), [0, 0], results.map(({ output }) => output).join('\n'))
  t.is(checkout.countInstallations(), 1)
  t.is((await checkout.run('node --check target/bilberryd.mjs')).status, 0)
})

test.serial('the build line leaves a folder alone that node_modules links to', async t => {
  const checkout = await createCheckout()
  const shared = join(checkout.folder, 'shared')
  mkdirSync(shared)
  writeFileSync(join(shared, 'kept'), '')
  symlinkSync(shared, join(checkout.folder, 'node_modules'))
  const { status, output } = await checkout.run(buildLine)
  t.is(status, 0, output)
  t.true(existsSync(join(shared, 'kept')))
})
