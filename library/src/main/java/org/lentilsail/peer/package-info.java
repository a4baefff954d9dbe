/** Messages between entry daemons: framed MessagePack over TCP, heartbeats and liveness. */
package org.lentilsail.peer;
