/**
 * Test fixture: counts the parsers of Node's HTTP client that are bound to a request. One that is never released keeps its
 * request, the answer and the connection in memory for good.
 */
import {createHook} from 'node:async_hooks';

/** Name under which Node.js reports a parser of the client to its async hooks. */
const parserType = 'HTTPCLIENTREQUEST';

const maxTurns = 20;
const turnMs = 10;

/** Counts from its creation on. */
export class ParsersInUse {
  private readonly ids = new Set<number>();
  private readonly hook = createHook({
    init: (id, type) => {
      if (type === parserType) this.ids.add(id);
    },
    destroy: id => void this.ids.delete(id),
  }).enable();

  /** Number of parsers that are still bound when all that can be released was; Node.js reports that in a later turn. */
  async remaining(): Promise<number> {
    for (let turn = 0; turn < maxTurns && this.ids.size > 0; turn += 1) {
      await new Promise(resolve => setTimeout(resolve, turnMs));
    }
    return this.ids.size;
  }

  stop(): void {
    this.hook.disable();
  }
}
