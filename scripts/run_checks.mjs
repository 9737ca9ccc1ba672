/**
 * Runs the linter and the tests; failures that KNOWN-RED.txt lists are printed and passed over.
 *
 * An entry of KNOWN-RED.txt begins with a line `test: TITLE`, with the title as ava prints it.
 *
 * @module
 */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const maxOutputBytes = 256 * 1024 * 1024

function runNode (args, options = {}) {
  return spawnSync(process.execPath, args, { cwd: root, encoding: 'utf8', maxBuffer: maxOutputBytes, ...options })
}

function readKnownRed () {
  const path = `${root}/KNOWN-RED.txt`
  if (!existsSync(path)) return []
  return readFileSync(path, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
}

/** Reads top-level results of TAP output; a failure that carries no number counts too. */
function parseResults (output) {
  const results = []
  for (const line of output.split('\n')) {
    const match = /^(not )?ok \d+ - (.*)$/.exec(line)
    if (match !== null) results.push({ passed: match[1] === undefined, title: match[2].trim() })
  }
  return results
}

const lint = runNode(['node_modules/eslint/bin/eslint.js', '.', '--max-warnings', '0'], { stdio: 'inherit' })
const tests = runNode(['node_modules/ava/entrypoints/cli.mjs', '--tap', ...process.argv.slice(2)], { stdio: ['ignore', 'pipe', 'inherit'] })
process.stdout.write(tests.stdout)

const results = parseResults(tests.stdout)
const known = new Set(readKnownRed())
const failed = results.filter(result => !result.passed)
const unexpected = failed.filter(result => !known.has(result.title))
for (const { title } of failed.filter(result => known.has(result.title))) console.log(`known red: ${title}`)
for (const { title } of unexpected) console.log(`failed: ${title}`)
for (const title of known) {
  if (results.some(result => result.passed && result.title === title)) console.log(`listed in KNOWN-RED.txt, but passes: ${title}`)
}
if (lint.status !== 0) console.log('failed: linter')

const crashed = tests.status !== 0 && failed.length === 0
if (crashed) console.log(`failed: ava ended with ${tests.status}`)
const passed = results.length - failed.length
console.log(`${passed} passed, ${unexpected.length + (lint.status === 0 ? 0 : 1) + (crashed ? 1 : 0)} failed`)
process.exitCode = unexpected.length > 0 || lint.status !== 0 || crashed || results.length === 0 ? 1 : 0
