package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Explains the decisions of fleet control; an unknown VM or wave is rejected with {@code
 * NOT_FOUND}.
 */
public interface Explainer {
  /**
   * Explains the state of a VM.
   *
   * @param vm name of the VM
   * @return the state, with an array {@code because} of sentences that give the reasons
   */
  JsonNode vm(String vm);

  /**
   * Explains the state of a wave.
   *
   * @param wave name of the wave
   * @return the state, with an array {@code because} of sentences that give the reasons
   */
  JsonNode wave(String wave);
}
