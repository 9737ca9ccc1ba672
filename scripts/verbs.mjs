/**
 * Reads from docs/STYLE.md the verbs with which function names may begin.
 *
 * @module
 */
import { readFileSync } from 'node:fs'

const page = readFileSync(new URL('../docs/STYLE.md', import.meta.url), 'utf8')
const line = page.split('\n').find(text => text.startsWith('Verbs: ')) ?? ''

/** Verbs with which function names may begin. */
export const verbs = new Set(line.slice('Verbs: '.length).replace(/[.`]/g, '').split(',').map(verb => verb.trim()))
